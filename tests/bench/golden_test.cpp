#include "bench/policy_bench/report.hpp"
#include "bench/policy_bench/simulation.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace caperjunction;

namespace {

std::filesystem::path const folder =
    std::filesystem::path(SOURCE_ROOT) / "tests/bench/golden";

/// If set, the files are rewritten; review the changes in the diff.
constexpr char const* write_variable = "CAPERJUNCTION_WRITE_GOLDEN";

std::string run_small(std::string const& scenario, char const* policy)
{
    std::vector<bench::run_result> results;
    bench::scenario what = bench::make_scenario(scenario);
    what.length = std::chrono::seconds{12};
    what.from = std::chrono::seconds{3};
    what.until = std::chrono::seconds{8};
    for (std::string const& name : bench::deployment_names()) {
        auto const where = bench::make_deployment(name);
        auto result =
            bench::simulate(where, what, bench::find_policy(policy), 1);
        result.deployment = name;
        result.scenario = scenario;
        result.policy = policy;
        results.push_back(result);
    }
    return bench::to_json(results);
}

std::string read(std::filesystem::path const& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void check_all(char const* policy)
{
    bool const writes = std::getenv(write_variable) != nullptr;
    for (std::string const& scenario : bench::scenario_names()) {
        auto const path = folder / (scenario + "." + policy + ".json");
        std::string const made = run_small(scenario, policy);
        if (writes) {
            std::ofstream(path) << made;
        }
        INFO(path.filename().string());
        CHECK(made == read(path));
    }
}

} // namespace

// A baseline never changes. If one of these files differs, the simulation has
// changed, and all figures measured with it before are invalid.
TEST_CASE("a baseline gives the recorded result of each scenario")
{
    check_all("strict_priority");
}

// The results for callers must only change intentionally: a change of the
// decisions shows in the diff of these files.
TEST_CASE("the decision logic gives the recorded result of each scenario")
{
    check_all("caperjunction");
}
