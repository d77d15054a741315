#ifndef CAPERJUNCTION_BENCH_RUN_PLAN_HPP
#define CAPERJUNCTION_BENCH_RUN_PLAN_HPP

#include "bench/policy_bench/run_result.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// The runs of a command line: each deployment with each scenario, policy and
/// seed.
struct run_plan
{
    std::vector<std::string> deployments;
    std::vector<std::string> scenarios;
    std::vector<std::string> policies;
    std::vector<std::uint64_t> seeds;
    std::chrono::milliseconds digest_period{200};
};

/// Parses flags with comma-separated values; `all` selects every name.
/// \throws model::error with a remedy if a name does not exist.
run_plan parse_plan(std::string const& deployments,
                    std::string const& scenarios,
                    std::string const& policies,
                    std::string const& seeds);

std::vector<run_result> run(run_plan const& plan);

/// Returns the text that `--list` prints.
std::string list_names();

} // namespace caperjunction::bench

#endif
