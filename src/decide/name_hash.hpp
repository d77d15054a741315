#ifndef CAPERJUNCTION_DECIDE_NAME_HASH_HPP
#define CAPERJUNCTION_DECIDE_NAME_HASH_HPP

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace caperjunction::decide {

/// Hash that stands for a name in digests. The chance that any two of 10,000
/// engines share a hash is about 1 in 100. The only effect of a collision is
/// that their loads are added up.
inline std::uint32_t name_hash(std::string_view name)
{
    return XXH32(name.data(), name.size(), 0);
}

/// Mixes two numbers into an evenly distributed one. Used with host, engine and
/// time for reproducible choices without a random generator.
inline std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t const words[2] = {left, right};
    return XXH64(static_cast<void const*>(words), sizeof words, 0);
}

} // namespace caperjunction::decide

#endif
