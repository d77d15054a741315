#include "routing/demand_trend.hpp"

#include "routing/support.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::demand_trend;

TEST_CASE("a constant demand is expected to stay")
{
    demand_trend trend;
    for (int step = 0; step < 50; ++step) {
        trend.record(step % 2 == 0 ? 205 : 195, start + step * 200ms);
    }
    CHECK(trend.expected() >= 195);
    CHECK(trend.expected() <= 240);
}

// Guards against a reservation that is as late as the reports of a burst.
TEST_CASE("a rise is expected to go on")
{
    demand_trend trend;
    trend.record(200, start);
    for (int step = 1; step <= 5; ++step) {
        trend.record(200 + step * 80, start + step * 200ms);
    }
    CHECK(trend.expected() > 700);
    CHECK(trend.expected() <= 1'000);
}

TEST_CASE("after a burst the expectation falls slowly, and ends at the demand")
{
    demand_trend trend;
    trend.record(600, start);
    for (int step = 1; step <= 50; ++step) {
        trend.record(100, start + step * 200ms);
        if (step == 5) {
            CHECK(trend.expected() > 400);
        }
    }
    CHECK(trend.expected() < 150);
}
