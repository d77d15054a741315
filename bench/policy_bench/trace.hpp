#ifndef CAPERJUNCTION_BENCH_TRACE_HPP
#define CAPERJUNCTION_BENCH_TRACE_HPP

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/planned_request.hpp"
#include "bench/policy_bench/scenario.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// Returns the load to which the scenario's burst or flood applies. The seed
/// selects it among the loads of engines, including the highest tier.
std::size_t affected_load(deployment const& deployment, std::uint64_t seed);

/// Returns the expected peak demand of a load as a share of capacity, without
/// random variation.
double peak_share(deployment const& deployment,
                  scenario const& scenario,
                  std::uint64_t seed,
                  std::size_t load);

/// Generates all first sends of one run in chronological order.
std::vector<planned_request> generate_trace(deployment const& deployment,
                                            scenario const& scenario,
                                            std::uint64_t seed);

} // namespace caperjunction::bench

#endif
