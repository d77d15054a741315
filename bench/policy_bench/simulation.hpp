#ifndef CAPERJUNCTION_BENCH_SIMULATION_HPP
#define CAPERJUNCTION_BENCH_SIMULATION_HPP

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/policy.hpp"
#include "bench/policy_bench/run_result.hpp"
#include "bench/policy_bench/scenario.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// Runs one scenario on one deployment in virtual time. The result depends only
/// on the arguments. The caller fills in the names of the result.
run_result simulate(deployment const& deployment,
                    scenario const& scenario,
                    policy_maker const& make,
                    std::uint64_t seed);

} // namespace caperjunction::bench

#endif
