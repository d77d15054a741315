#ifndef CAPERJUNCTION_PROXY_LIST_CODEC_HPP
#define CAPERJUNCTION_PROXY_LIST_CODEC_HPP

#include "proxy/store_item.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// The newest configuration of a host, as sent to another host.
struct packed_configuration
{
    std::string key;
    std::uint64_t revision = 0;
    /// Store revision up to which no newer configuration existed.
    std::uint64_t checked = 0;
    /// Revision of the configuration against which `packed` was compressed; 0
    /// if none.
    std::uint64_t base = 0;
    /// Result of `pack_text`.
    std::string packed;
};

std::string encode_configuration(packed_configuration const& from);

/// Returns std::nullopt if the bytes are not a valid configuration.
std::optional<packed_configuration>
decode_configuration(std::string_view bytes);

/// Items that a host has read from the store.
struct item_list
{
    std::vector<store_item> items;
    /// Revision of the newest change among the items.
    std::uint64_t revision = 0;
    /// 0 for all items; otherwise the items that changed after this revision,
    /// including removed ones.
    std::uint64_t since = 0;
    /// The sender knows all removals from this revision on. Of those before it
    /// knows which keys are gone, not which others came and went; a receiver
    /// can't tell its own peers either. Unknown of hosts of earlier versions.
    std::uint64_t removals_known_since = unknown_revision;

    static constexpr std::uint64_t unknown_revision =
        std::numeric_limits<std::uint64_t>::max();
};

std::string encode_items(item_list const& list);

/// Returns std::nullopt if the bytes are not a valid list.
std::optional<item_list> decode_items(std::string_view bytes);

} // namespace caperjunction::proxy

#endif
