#include "bench/policy_bench/run_plan.hpp"

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/policy.hpp"
#include "bench/policy_bench/scenario.hpp"
#include "bench/policy_bench/simulation.hpp"
#include "model/error.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

namespace caperjunction::bench {
namespace {

std::vector<std::string> parse_names(std::string const& text,
                                     std::vector<std::string> const& all)
{
    if (text == "all") {
        return all;
    }
    return absl::StrSplit(text, ',');
}

std::vector<std::uint64_t> parse_seeds(std::string const& text)
{
    std::vector<std::uint64_t> seeds;
    for (absl::string_view const word : absl::StrSplit(text, ',')) {
        std::uint64_t seed = 0;
        if (!absl::SimpleAtoi(word, &seed)) {
            throw model::error(model::error_kind::bad_settings,
                               fmt::format("'{}' is not a list of seeds", text),
                               "use comma-separated whole numbers from 0");
        }
        seeds.push_back(seed);
    }
    return seeds;
}

} // namespace

run_plan parse_plan(std::string const& deployments,
                    std::string const& scenarios,
                    std::string const& policies,
                    std::string const& seeds)
{
    run_plan plan;
    plan.deployments = parse_names(deployments, deployment_names());
    plan.scenarios = parse_names(scenarios, scenario_names());
    plan.policies = parse_names(policies, policy_names());
    plan.seeds = parse_seeds(seeds);
    // Checks all names before the first run; otherwise an error in the last
    // name is reported only after minutes.
    for (std::string const& name : plan.deployments) {
        make_deployment(name);
    }
    for (std::string const& name : plan.scenarios) {
        make_scenario(name);
    }
    for (std::string const& name : plan.policies) {
        find_policy(name);
    }
    return plan;
}

std::vector<run_result> run(run_plan const& plan)
{
    std::vector<run_result> results;
    for (std::string const& deployment_name : plan.deployments) {
        deployment const deployment = make_deployment(deployment_name);
        for (std::string const& scenario_name : plan.scenarios) {
            scenario scenario = make_scenario(scenario_name);
            scenario.digest_period = plan.digest_period;
            for (std::string const& policy_name : plan.policies) {
                for (std::uint64_t const seed : plan.seeds) {
                    run_result one = simulate(
                        deployment, scenario, find_policy(policy_name), seed);
                    one.deployment = deployment_name;
                    one.scenario = scenario_name;
                    one.policy = policy_name;
                    results.push_back(std::move(one));
                }
            }
        }
    }
    return results;
}

std::string list_names()
{
    return fmt::format("deployments: {}\nscenarios: {}\npolicies: {}\n",
                       absl::StrJoin(deployment_names(), " "),
                       absl::StrJoin(scenario_names(), " "),
                       absl::StrJoin(policy_names(), " "));
}

} // namespace caperjunction::bench
