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
    /// Era of that revision.
    std::uint64_t era = 0;
    /// Position of the store up to which no newer configuration existed.
    routing::store_position checked;
    /// 0 from a host of an earlier version.
    std::uint64_t version = 0;
    /// Version of the configuration against which `packed` was compressed; 0 if
    /// none.
    std::uint64_t base_version = 0;
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
    /// The sender has all changes up to here.
    routing::store_position revision;
    /// Not set for all items; otherwise the items that changed after this,
    /// including removed ones.
    routing::store_position since;
    /// The sender knows all removals from here on. Of those before it
    /// knows which keys are gone, not which others came and went; a receiver
    /// can't tell its own peers either. Unknown of hosts of earlier versions.
    routing::store_position removals_known_since = unknown_position;

    static constexpr routing::store_position unknown_position{
        std::numeric_limits<std::uint64_t>::max(),
        std::numeric_limits<std::uint64_t>::max()};
};

std::string encode_items(item_list const& list);

/// Returns std::nullopt if the bytes are not a valid list.
std::optional<item_list> decode_items(std::string_view bytes);

} // namespace caperjunction::proxy

#endif
