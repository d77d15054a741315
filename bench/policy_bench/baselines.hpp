#ifndef CAPERJUNCTION_BENCH_BASELINES_HPP
#define CAPERJUNCTION_BENCH_BASELINES_HPP

#include "bench/policy_bench/policy.hpp"

namespace caperjunction::bench {

/// Each upstream in turn; first come first served in the engines.
policy make_round_robin(decide::router_settings const& settings);

/// The upstream with the fewest of this host's requests outstanding; first
/// come first served in the engines.
policy make_least_outstanding(decide::router_settings const& settings);

/// As the one before, but the engines take the higher tier first, always.
policy make_strict_priority(decide::router_settings const& settings);

} // namespace caperjunction::bench

#endif
