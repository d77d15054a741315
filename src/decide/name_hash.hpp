#ifndef CAPERJUNCTION_DECIDE_NAME_HASH_HPP
#define CAPERJUNCTION_DECIDE_NAME_HASH_HPP

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace caperjunction::decide {

/// The short form of a name in digests. Two of 10,000 engines share one with
/// a chance of about 1 in 100; their loads are then added up, no more.
inline std::uint32_t name_hash(std::string_view name)
{
    return XXH32(name.data(), name.size(), 0);
}

/// A number that spreads (host, engine, time) evenly but is the same in
/// every run, for picking without a random generator.
inline std::uint64_t mix(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t const words[2] = {left, right};
    return XXH64(static_cast<void const*>(words), sizeof words, 0);
}

} // namespace caperjunction::decide

#endif
