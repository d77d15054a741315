#ifndef CAPERJUNCTION_ROUTING_RENDEZVOUS_HPP
#define CAPERJUNCTION_ROUTING_RENDEZVOUS_HPP

#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <string>

namespace caperjunction::routing {

/// Returns the score of an upstream for `key` in rendezvous hashing: hosts that
/// know the same upstreams agree on the one with the highest score.
inline std::uint64_t rendezvous_score(std::string const& id, std::uint64_t key)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), key);
}

/// Returns the score of an upstream whose share of the keys is proportional to
/// `weight`. Upstreams of equal weight are in the order of their scores.
inline double weighted_score(std::uint64_t score, double weight)
{
    // Within (0, 1), so that the logarithm is finite and not 0.
    double const fraction = (static_cast<double>(score >> 12U) + 0.5) * 0x1p-52;
    return -weight / std::log(fraction);
}

} // namespace caperjunction::routing

#endif
