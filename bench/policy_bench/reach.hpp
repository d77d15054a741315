#ifndef CAPERJUNCTION_BENCH_REACH_HPP
#define CAPERJUNCTION_BENCH_REACH_HPP

#include "bench/policy_bench/run_result.hpp"

#include <string>
#include <vector>

namespace caperjunction::bench {

/// Returns one line per target that a run of the policy `caperjunction` misses,
/// and a last line with counts. Runs are compared with the baselines if
/// `results` has their runs of the same deployment, scenario and seed.
std::string to_reach(std::vector<run_result> const& results);

/// Returns the missed targets of one run, compared with the baselines' runs of
/// the same deployment, scenario and seed.
std::vector<std::string>
find_misses(run_result const& run,
            std::vector<run_result const*> const& baselines);

} // namespace caperjunction::bench

#endif
