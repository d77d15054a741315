#ifndef CAPERJUNCTION_BENCH_TRACE_HPP
#define CAPERJUNCTION_BENCH_TRACE_HPP

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/planned_request.hpp"
#include "bench/policy_bench/scenario.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// The load that the scenario's burst or flood is of. Which it is depends on
/// the seed; the highest tier is among them.
std::size_t pressed_load(deployment const& deployment, std::uint64_t seed);

/// Demand of a load at its highest, as a share of capacity; before chance
/// has its part in it.
double peak_share(deployment const& deployment,
                  scenario const& scenario,
                  std::uint64_t seed,
                  std::size_t load);

/// All first sends of one run in order of time.
std::vector<planned_request> draw_trace(deployment const& deployment,
                                        scenario const& scenario,
                                        std::uint64_t seed);

} // namespace caperjunction::bench

#endif
