#ifndef CAPERJUNCTION_ROUTING_RENDEZVOUS_HPP
#define CAPERJUNCTION_ROUTING_RENDEZVOUS_HPP

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace caperjunction::routing {

/// Returns the score of an upstream for `key` in rendezvous hashing: hosts that
/// know the same upstreams agree on the one with the highest score.
inline std::uint64_t rendezvous_score(std::string const& id, std::uint64_t key)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), key);
}

} // namespace caperjunction::routing

#endif
