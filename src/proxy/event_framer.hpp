#ifndef CAPERJUNCTION_PROXY_EVENT_FRAMER_HPP
#define CAPERJUNCTION_PROXY_EVENT_FRAMER_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Splits a stream into complete server-sent events and records the id of the
/// last one.
///
/// An upstream may fail in the middle of an event. If the first part of that
/// event were forwarded, a stream that is resumed at another upstream would
/// join two partial events.
///
/// Thread safety: none; one instance per attempt.
class event_framer
{
public:
    /// Appends `bytes` and returns the bytes of all events that are now
    /// complete. The result is valid until the next call.
    std::string_view feed(std::string_view bytes);

    /// Bytes of the last event, which is still incomplete.
    std::string_view partial_event() const
    {
        return m_partial;
    }

    /// Whether the event that is being read is longer than any event of a
    /// stream. Its rest may never come.
    bool is_overlong() const
    {
        return m_partial.size() > max_event_bytes;
    }

    /// Whether the stream would end in the middle of an event if no byte
    /// followed. Comments are no events.
    bool is_inside_event() const;

    /// Id of the last complete event that had one; empty if none had.
    std::string const& last_id() const
    {
        return m_last_id;
    }

    /// Complete events so far. Comments are none.
    std::uint64_t events() const
    {
        return m_events;
    }

private:
    static constexpr std::size_t max_event_bytes = 1'048'576;

    void record_events(std::string_view complete);

    std::string m_partial;
    std::string m_complete;
    std::string m_last_id;
    /// Whether the event that is being read has a line other than comments.
    bool m_has_field = false;
    std::uint64_t m_events = 0;
};

} // namespace caperjunction::proxy

#endif
