#ifndef CAPERJUNCTION_PROXY_EVENT_FRAMER_HPP
#define CAPERJUNCTION_PROXY_EVENT_FRAMER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Passes on the whole events of a stream and remembers the last one's id.
///
/// An upstream may break in the middle of an event. Were the first half
/// passed on, a stream that goes on elsewhere would join two halves.
///
/// Thread safety: none; one for each try.
class event_framer
{
public:
    /// Takes bytes; gives those that end the events that are now whole.
    /// Valid until the next call.
    std::string_view feed(std::string_view bytes);

    /// What is left of an event whose end has not come.
    std::string_view partial_event() const
    {
        return m_partial;
    }

    /// The id of the last whole event; empty if none had one.
    std::string const& last_id() const
    {
        return m_last_id;
    }

    std::uint64_t events() const
    {
        return m_events;
    }

private:
    void record_events(std::string_view complete);

    std::string m_partial;
    std::string m_complete;
    std::string m_last_id;
    std::uint64_t m_events = 0;
};

} // namespace caperjunction::proxy

#endif
