#ifndef CAPERJUNCTION_BENCH_REPORT_HPP
#define CAPERJUNCTION_BENCH_REPORT_HPP

#include "bench/policy_bench/run_result.hpp"

#include <string>
#include <vector>

namespace caperjunction::bench {

/// Returns one object for a single run, an array for several.
std::string to_json(std::vector<run_result> const& results);

/// Returns a summary line per run, and a line per class, tier and violation.
std::string to_table(std::vector<run_result> const& results);

} // namespace caperjunction::bench

#endif
