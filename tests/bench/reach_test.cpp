#include "bench/policy_bench/reach.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;

namespace {

bench::run_result make_run(char const* policy)
{
    bench::run_result run;
    run.deployment = "kitanomine";
    run.scenario = "saturation";
    run.policy = policy;
    run.goodput_ratio = 0.95;
    run.wasted_ratio = 0.001;
    run.cross_region_bytes = 100;
    bench::class_result top;
    top.name = "top";
    top.tier = "first";
    top.offered = 1'000;
    top.within = 995;
    top.promised = 0.99;
    bench::class_result low = top;
    low.name = "low";
    low.tier = "second";
    low.promised = 0.9;
    low.within = 950;
    run.classes = {top, low};
    run.tiers = {{"first", 0.5, 0.4, 0.4}, {"second", 0.3, 0.6, 0.35}};
    return run;
}

std::size_t misses(bench::run_result const& run)
{
    return bench::find_misses(run, {}).size();
}

} // namespace

TEST_CASE("a run that reaches all targets has no miss")
{
    CHECK(misses(make_run("caperjunction")) == 0);
}

TEST_CASE("each target that is not reached is a miss")
{
    auto run = make_run("caperjunction");
    run.classes[0].within = 989;
    CHECK(misses(run) == 1);
    run.classes[1].within = 899;
    CHECK(misses(run) == 2);
    run.classes[1].fits_share = false;
    CHECK(misses(run) == 1);
    run.goodput_ratio = 0.89;
    CHECK(misses(run) == 2);
    run.wasted_ratio = 0.011;
    CHECK(misses(run) == 3);
    run.tiers[1].delivered = 0.29;
    CHECK(misses(run) == 4);
    run.violations.push_back({"second_run", 1, ""});
    CHECK(misses(run) == 5);
}

TEST_CASE("the baselines define minimum results")
{
    auto const run = make_run("caperjunction");
    auto other = make_run("round_robin");
    other.goodput_ratio = 0.48;
    CHECK(bench::find_misses(run, {&other}).size() == 1);
    other.goodput_ratio = 0.4;
    CHECK(bench::find_misses(run, {&other}).empty());
    other.wasted_ratio = 0.0009;
    CHECK(bench::find_misses(run, {&other}).size() == 1);
    auto least = make_run("least_outstanding");
    least.cross_region_bytes = 199;
    CHECK(bench::find_misses(run, {&least}).size() == 1);
}
