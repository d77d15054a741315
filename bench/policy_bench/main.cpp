// Runs the decision logic and the baselines in virtual time.
#include "bench/policy_bench/reach.hpp"
#include "bench/policy_bench/report.hpp"
#include "bench/policy_bench/run_plan.hpp"
#include "bench/policy_bench/summary.hpp"
#include "model/error.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

ABSL_FLAG(std::string,
          deployment,
          "kitanomine",
          "comma-separated names, or all");
ABSL_FLAG(std::string, scenario, "steady", "comma-separated names, or all");
ABSL_FLAG(std::string,
          policy,
          "caperjunction",
          "comma-separated names, or all");
ABSL_FLAG(std::string, seed, "1", "comma-separated seeds");
ABSL_FLAG(std::string, seeds, "", "same as --seed; takes precedence over it");
ABSL_FLAG(std::string, format, "table", "table, json, markdown or reach");
ABSL_FLAG(int,
          digest_period,
          200,
          "interval between digests of a host in milliseconds");
ABSL_FLAG(bool, list, false, "print all names and exit");

namespace {

using namespace caperjunction;

using printer =
    std::function<std::string(std::vector<bench::run_result> const&)>;

printer find_format(std::string const& name)
{
    if (name == "table") {
        return bench::to_table;
    }
    if (name == "json") {
        return bench::to_json;
    }
    if (name == "markdown") {
        return bench::to_markdown;
    }
    if (name == "reach") {
        return bench::to_reach;
    }
    throw model::error(model::error_kind::bad_settings,
                       "there is no format '" + name + "'",
                       "use table, json, markdown or reach");
}

void run_program()
{
    if (absl::GetFlag(FLAGS_list)) {
        fmt::print("{}", bench::list_names());
        return;
    }
    printer const print = find_format(absl::GetFlag(FLAGS_format));
    std::string const seeds = absl::GetFlag(FLAGS_seeds);
    int const period = absl::GetFlag(FLAGS_digest_period);
    if (period <= 0) {
        throw model::error(model::error_kind::bad_settings,
                           "the digest period is not above 0",
                           "give --digest_period in milliseconds");
    }
    bench::run_plan plan =
        bench::parse_plan(absl::GetFlag(FLAGS_deployment),
                          absl::GetFlag(FLAGS_scenario),
                          absl::GetFlag(FLAGS_policy),
                          seeds.empty() ? absl::GetFlag(FLAGS_seed) : seeds);
    plan.digest_period = std::chrono::milliseconds{period};
    auto const results = bench::run(plan);
    fmt::print("{}", print(results));
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Runs the decision logic and the baselines in virtual time.");
    absl::ParseCommandLine(argc, argv);
    try {
        run_program();
        return 0;
    } catch (model::error const& failure) {
        fmt::print(stderr,
                   "error={} message=\"{}\" remedy=\"{}\"\n",
                   model::to_string(failure.kind()),
                   failure.what(),
                   failure.remedy());
        return 2;
    }
}
