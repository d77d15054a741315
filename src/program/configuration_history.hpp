#ifndef CAPERJUNCTION_PROGRAM_CONFIGURATION_HISTORY_HPP
#define CAPERJUNCTION_PROGRAM_CONFIGURATION_HISTORY_HPP

#include "proxy/list_codec.hpp"
#include "proxy/store_item.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace caperjunction::program {

/// The newest configuration text and a few earlier ones. Another host that has
/// one of them gets only the delta.
///
/// Thread safety: none; owned by one task.
class configuration_history
{
public:
    /// \pre version is above version().
    void add(proxy::store_item const& item, std::uint64_t version);

    /// Returns the version of the newest configuration; 0 if there is none.
    std::uint64_t version() const
    {
        return m_version;
    }

    proxy::store_item const& newest() const
    {
        return m_newest;
    }

    /// Returns the newest configuration as a delta against version `base`, or
    /// as full text if `base` is not stored. The caller sets `checked`.
    proxy::packed_configuration pack(std::uint64_t base);

    /// Returns nothing if the text cannot be decoded or its base is not stored.
    std::optional<proxy::store_item>
    unpack(proxy::packed_configuration const& packed_item) const;

private:
    /// Returns an empty text if the version is not stored.
    std::string const& text_of(std::uint64_t version) const;

    proxy::store_item m_newest;
    std::uint64_t m_version = 0;
    /// Earlier texts, by version.
    std::map<std::uint64_t, std::string> m_older;
    /// Packed forms of the newest text, by base version.
    std::map<std::uint64_t, std::string> m_packed;
};

} // namespace caperjunction::program

#endif
