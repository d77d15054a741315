#ifndef CAPERJUNCTION_BENCH_REPORT_HPP
#define CAPERJUNCTION_BENCH_REPORT_HPP

#include "bench/policy_bench/run_result.hpp"

#include <string>
#include <vector>

namespace caperjunction::bench {

/// One object for one run, an array for several.
std::string to_json(std::vector<run_result> const& results);

/// A line for each class of each run, and one for the run itself.
std::string to_table(std::vector<run_result> const& results);

} // namespace caperjunction::bench

#endif
