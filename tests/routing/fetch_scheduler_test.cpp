#include "routing/fetch_scheduler.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

model::time_point const start{std::chrono::hours(1)};
model::endpoint const other{"10.0.0.1", 7'000};

routing::peer_table::source source_at(bool is_near)
{
    return {&other, is_near, false};
}

} // namespace

TEST_CASE("a change of a near host is fetched at once")
{
    routing::fetch_scheduler scheduler;
    routing::fetch_scheduler::host_state const host{true, false, false};
    CHECK(!scheduler.is_due({}, host, start));
    CHECK(scheduler.is_due(source_at(true), host, start));
}

TEST_CASE("a store watcher fetches from other hosts after a delay")
{
    routing::fetch_scheduler scheduler;
    routing::fetch_scheduler::host_state const host{true, true, false};
    CHECK(!scheduler.is_due(source_at(true), host, start));
    CHECK(!scheduler.is_due(source_at(true), host, start + 400ms));
    CHECK(scheduler.is_due(source_at(true), host, start + 500ms));
}

TEST_CASE("a remote change is left to the aggregator at first")
{
    routing::fetch_scheduler scheduler;
    routing::fetch_scheduler::host_state const host{true, false, false};
    CHECK(!scheduler.is_due(source_at(false), host, start));
    CHECK(scheduler.is_due(source_at(false), host, start + 500ms));
    routing::fetch_scheduler aggregator;
    CHECK(aggregator.is_due(source_at(false), {true, false, true}, start));
}

// Without a back-off, large lists fill the links of the hosts that send them.
TEST_CASE("a large list causes a back-off of limited duration")
{
    routing::fetch_scheduler scheduler;
    routing::fetch_scheduler::host_state const host{true, false, false};
    scheduler.back_off(40'000, 10, start);
    CHECK(!scheduler.is_due(source_at(true), host, start + 40ms));
    CHECK(scheduler.is_due(source_at(true), host, start + 50ms));
    scheduler.back_off(10'000'000, 70, start);
    CHECK(scheduler.is_due(source_at(true), host, start + 800ms));
}

// With a slow link to a peer, hosts would otherwise wait for that peer although
// the store is available.
TEST_CASE("a host knows for how long it has lacked a change")
{
    routing::fetch_scheduler scheduler;
    CHECK(scheduler.lag(5, 5, start) == 0ms);
    CHECK(scheduler.lag(5, 7, start + 100ms) == 0ms);
    CHECK(scheduler.lag(5, 9, start + 600ms) == 500ms);
    // The host has the change it lacked first; later changes count from now.
    CHECK(scheduler.lag(7, 9, start + 700ms) == 0ms);
    CHECK(scheduler.lag(7, 9, start + 900ms) == 200ms);
    CHECK(scheduler.lag(9, 9, start + 950ms) == 0ms);
}
