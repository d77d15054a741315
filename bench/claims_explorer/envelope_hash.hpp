#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ENVELOPE_HASH_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ENVELOPE_HASH_HPP

#include "bench/claims_explorer/world.hpp"

#include <cstdint>

namespace caperjunction::claims_explorer {

/// Returns a 64-bit hash of a message, its sender and its recipient. It is
/// always even: `world::hash` marks a delayed message with the lowest bit.
std::uint64_t hash_of(envelope const& packet);

} // namespace caperjunction::claims_explorer

#endif
