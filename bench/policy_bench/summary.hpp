#ifndef CAPERJUNCTION_BENCH_SUMMARY_HPP
#define CAPERJUNCTION_BENCH_SUMMARY_HPP

#include "bench/policy_bench/run_result.hpp"

#include <string>
#include <vector>

namespace caperjunction::bench {

/// Returns Markdown tables with a row per deployment, scenario and policy, in
/// the order of `results`. Each column has the worst value over the seeds.
std::string to_markdown(std::vector<run_result> const& results);

} // namespace caperjunction::bench

#endif
