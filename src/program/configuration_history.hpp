#ifndef CAPERJUNCTION_PROGRAM_CONFIGURATION_HISTORY_HPP
#define CAPERJUNCTION_PROGRAM_CONFIGURATION_HISTORY_HPP

#include "proxy/list_codec.hpp"
#include "proxy/store_item.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace caperjunction::program {

/// The newest configuration as text, and a few before it: another host that
/// has one of these gets the difference alone.
///
/// Thread safety: none; owned by one task.
class configuration_history
{
public:
    /// \pre item.revision is above revision().
    void add(proxy::store_item const& item);

    /// Of the newest; 0 if there is none.
    std::uint64_t revision() const
    {
        return m_newest.revision;
    }

    proxy::store_item const& newest() const
    {
        return m_newest;
    }

    /// The newest against that of revision `base`, or whole if that isn't
    /// known here. `checked` is left to the caller.
    proxy::packed_configuration pack(std::uint64_t base);

    /// Nothing if it can't be read, or its base isn't known here.
    std::optional<proxy::store_item>
    unpack(proxy::packed_configuration const& packed_item) const;

private:
    /// Empty if it isn't known.
    std::string const& text_of(std::uint64_t revision) const;

    proxy::store_item m_newest;
    /// By revision, without the newest.
    std::map<std::uint64_t, std::string> m_older;
    /// The newest as it was packed for others, by the base.
    std::map<std::uint64_t, std::string> m_packed;
};

} // namespace caperjunction::program

#endif
