#ifndef CAPERJUNCTION_BENCH_REACH_HPP
#define CAPERJUNCTION_BENCH_REACH_HPP

#include "bench/policy_bench/run_result.hpp"

#include <string>
#include <vector>

namespace caperjunction::bench {

/// What the runs of the policy `caperjunction` are meant to reach and miss,
/// one line each; a last line counts. Comparisons with the baselines are made
/// where `results` holds their runs of the same scenario and seed.
std::string to_reach(std::vector<run_result> const& results);

/// The misses of one run, beside the baselines' runs of the same.
std::vector<std::string>
find_misses(run_result const& run,
            std::vector<run_result const*> const& baselines);

} // namespace caperjunction::bench

#endif
