#include "bench/fleet_bench/fleet_scenarios.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caperjunction;
using bench::figure;

namespace {

double value_of(std::vector<figure> const& figures,
                std::string const& name,
                std::string const& setting)
{
    for (figure const& each : figures) {
        if (each.name == name && each.setting == setting) {
            return each.value;
        }
    }
    FAIL("no figure of that name: ", name);
    return 0.0;
}

bench::bench_options few()
{
    bench::bench_options options;
    options.trials = 3;
    return options;
}

} // namespace

TEST_CASE("without the generation check a leaving host is considered live")
{
    // A frozen process was replaced under its name and resumes. Its heartbeats
    // announce that the host accepts work while the successor is about to stop:
    // requests handed over to it then are interrupted. The next heartbeat, at
    // most half a second later, corrects a late message, so that it takes some
    // trials to observe one.
    bench::bench_options options = few();
    options.trials = 10;
    std::vector<figure> figures;
    bench::measure_replacement(7, true, options, figures);
    bench::measure_replacement(7, false, options, figures);
    std::string const late = "live host held for leaving";
    std::string const old = "leaving host held for live";
    CHECK(value_of(figures, late, "") == 0.0);
    CHECK(value_of(figures, old, "") == 0.0);
    CHECK(value_of(figures, late, "no generation check") > 0.0);
    CHECK(value_of(figures, old, "no generation check") > 5.0);
}

TEST_CASE("without refutation one broken route makes a host lost for all")
{
    std::vector<figure> figures;
    bench::measure_broken_routes(7, true, few(), figures);
    bench::measure_broken_routes(7, false, few(), figures);
    std::string const lost = "running hosts told as lost";
    CHECK(value_of(figures, lost, "") == 0.0);
    CHECK(value_of(figures, lost, "no refutation") >= 1.0);
}

TEST_CASE("without the refresh a host acts by its old view after a pause")
{
    std::vector<figure> figures;
    bench::measure_resume(7, true, few(), figures);
    bench::measure_resume(7, false, few(), figures);
    std::string const acts = "sleeper acts with a dead host live";
    CHECK(value_of(figures, acts, "") == 0.0);
    CHECK(value_of(figures, acts, "no refresh") > 1.0);
}

TEST_CASE("control traffic stays within five kilobytes per second per host")
{
    // The link between regions is narrow and billed by volume. Control traffic
    // that grows with the lists or the fleet would displace answers.
    bench::bench_options options = few();
    options.teams = 530;
    options.changes_per_second = 0.7;
    std::vector<figure> figures;
    bench::measure_load(14, true, options, figures);
    bench::measure_load(14, false, options, figures);
    std::string const bytes = "bytes sent, busiest host";
    std::string const setting = "0.7 changes/s of 530 teams, digest 400 B";
    CHECK(value_of(figures, bytes, setting) < 5'000.0);
    CHECK(value_of(figures, bytes, setting + ", no splices") > 5'000.0);
}
