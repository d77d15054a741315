#ifndef CAPERJUNCTION_NET_PREFIX_BLOCKS_HPP
#define CAPERJUNCTION_NET_PREFIX_BLOCKS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Characters of a prompt that one block of a prefix covers.
inline constexpr std::size_t prefix_block_characters = 256;
/// Blocks that are told apart; a longer prompt is known by its beginning.
inline constexpr std::size_t max_prefix_blocks = 64;

/// Hashes of the leading whole blocks of `prompt`, each over all before it
/// and over the model's name, as engines name them in cache events.
std::vector<std::uint64_t> prefix_blocks(std::string_view model,
                                         std::string_view prompt);

} // namespace caperjunction::net

#endif
