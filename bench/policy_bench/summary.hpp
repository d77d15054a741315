#ifndef CAPERJUNCTION_BENCH_SUMMARY_HPP
#define CAPERJUNCTION_BENCH_SUMMARY_HPP

#include "bench/policy_bench/run_result.hpp"

#include <string>
#include <vector>

namespace caperjunction::bench {

/// A Markdown table with a row for each deployment, scenario and policy, in
/// the order of `results`: the worst figure over the seeds in each column.
std::string to_markdown(std::vector<run_result> const& results);

} // namespace caperjunction::bench

#endif
