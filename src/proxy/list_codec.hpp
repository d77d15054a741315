#ifndef CAPERJUNCTION_PROXY_LIST_CODEC_HPP
#define CAPERJUNCTION_PROXY_LIST_CODEC_HPP

#include "proxy/store_item.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// The newest configuration that a host has, on its way to another.
struct packed_configuration
{
    std::string key;
    std::uint64_t revision = 0;
    /// Up to this revision the store had no newer one.
    std::uint64_t checked = 0;
    /// Revision of the configuration that `packed` was packed against; 0: none.
    std::uint64_t base = 0;
    /// As `pack_text` gives it.
    std::string packed;
};

std::string encode_configuration(packed_configuration const& from);

/// Nothing if the bytes are no configuration.
std::optional<packed_configuration>
decode_configuration(std::string_view bytes);

/// What a host has read of the store.
struct item_list
{
    std::vector<store_item> items;
    /// The newest change among them.
    std::uint64_t revision = 0;
    /// 0: all items; else those that changed after it, removed ones too.
    std::uint64_t since = 0;
};

std::string encode_items(item_list const& list);

/// Nothing if the bytes are no list.
std::optional<item_list> decode_items(std::string_view bytes);

} // namespace caperjunction::proxy

#endif
