#include "bench/claims_explorer/fault_budget.hpp"
#include "bench/claims_explorer/scenario.hpp"
#include "bench/claims_explorer/search.hpp"

#include <doctest/doctest.h>

using namespace caperjunction::claims_explorer;

namespace {

constexpr std::size_t all_hosts = 7;
constexpr std::size_t few_states = 40'000;

search_limits short_search()
{
    search_limits limits;
    limits.max_states = few_states;
    limits.threads = 2;
    return limits;
}

} // namespace

TEST_CASE("no short history of faults runs a call twice")
{
    // Messages are lost, delayed and duplicated, and hosts crash, pause, stop
    // and use different lists, while a caller sends one booking to two hosts. A
    // fault shows as a call that runs twice, a false "not run", or a booking
    // that never gets an answer.
    scenario const fixed(all_hosts, 0, ablation::none);
    for (auto const& profile : fault_profiles(false)) {
        CAPTURE(profile.name);
        auto const result = search(fixed, profile.budget, short_search());
        CHECK(result.runs_twice == 0);
        CHECK(result.false_not_run == 0);
        CHECK(result.stuck == 0);
        CHECK(result.settled > 0);
        CHECK(result.states > few_states / 2);
    }
}

TEST_CASE("one vote less than a majority runs a call twice")
{
    // Two entry hosts each get two of five votes, disjoint ones, and both run
    // the booking. A search that misses this would miss faults of the protocol
    // too.
    scenario const fixed(all_hosts, -1, ablation::none);
    fault_budget const no_faults{.resends = 0};
    auto limits = short_search();
    limits.max_states = 400'000;
    limits.stop_at_first = true;
    auto const result = search(fixed, no_faults, limits);
    CHECK(result.runs_twice > 0);
    CHECK_FALSE(result.history.empty());
}

TEST_CASE("no short history lets an older orderer follow a newer one")
{
    // Two hosts alternate as the orderer of an engine while one of them is
    // paused or gets the list late. A fault makes the engine load an outdated
    // model.
    for (bool const checks : {true, false}) {
        order_scenario fixed;
        fixed.checks_fencing = checks;
        fixed.settings.loads_per_minute = 1e6;
        auto limits = short_search();
        limits.max_states = 100'000;
        auto const result = search_orders(fixed, order_budget(false), limits);
        CHECK(result.exhaustive);
        CHECK(result.stale_orders == 0);
        CHECK(result.stuck == 0);
    }
}

TEST_CASE("without a takeover delay an older order follows a newer one")
{
    // The engine ignores fencing numbers, and the new orderer doesn't wait
    // until the previous one has stopped.
    order_scenario fixed;
    fixed.settings.loads_per_minute = 1e6;
    fixed.settings.takeover_delay = fixed.settings.takeover_delay.zero();
    auto limits = short_search();
    limits.max_states = 100'000;
    auto const result = search_orders(fixed, order_budget(true), limits);
    CHECK(result.stale_orders > 0);
}
