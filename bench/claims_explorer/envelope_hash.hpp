#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ENVELOPE_HASH_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ENVELOPE_HASH_HPP

#include "bench/claims_explorer/world.hpp"

#include <cstdint>

namespace caperjunction::claims_explorer {

/// 64 bits of hash over a message and its two ends; always even.
std::uint64_t hash_of(envelope const& letter);

} // namespace caperjunction::claims_explorer

#endif
