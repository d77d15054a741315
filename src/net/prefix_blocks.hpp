#ifndef CAPERJUNCTION_NET_PREFIX_BLOCKS_HPP
#define CAPERJUNCTION_NET_PREFIX_BLOCKS_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Prompt characters per prefix block.
inline constexpr std::size_t prefix_block_characters = 256;
/// Maximum blocks per prompt; a longer prompt is identified by its beginning.
inline constexpr std::size_t max_prefix_blocks = 64;

/// Returns the hashes of the leading complete blocks of `prompt`. Each hash
/// covers the model's name and all previous blocks, and matches the block id in
/// the cache events of engines.
std::vector<std::uint64_t> prefix_blocks(std::string_view model,
                                         std::string_view prompt);

} // namespace caperjunction::net

#endif
