#include "net/prefix_blocks.hpp"

#include <xxhash.h>

#include <algorithm>

namespace caperjunction::net {

std::vector<std::uint64_t> prefix_blocks(std::string_view model,
                                         std::string_view prompt)
{
    std::size_t const block_count =
        std::min(prompt.size() / prefix_block_characters, max_prefix_blocks);
    std::vector<std::uint64_t> blocks;
    blocks.reserve(block_count);
    std::uint64_t hash = XXH3_64bits(model.data(), model.size());
    for (std::size_t block = 0; block < block_count; ++block) {
        char const* const start =
            prompt.data() + block * prefix_block_characters;
        hash = XXH3_64bits_withSeed(start, prefix_block_characters, hash);
        blocks.push_back(hash);
    }
    return blocks;
}

} // namespace caperjunction::net
