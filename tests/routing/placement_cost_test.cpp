#include "routing/placement_cost.hpp"

#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <cmath>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

double wait_with(std::uint32_t running, std::uint32_t slots)
{
    routing::upstream_state candidate;
    candidate.description.slots = slots;
    candidate.others.running = running;
    return routing::slot_wait_ms({}, candidate, 500ms);
}

} // namespace

TEST_CASE("a wait for a slot is expected before the last one is taken")
{
    CHECK(wait_with(0, 16) < 5.0);
    CHECK(wait_with(12, 16) > 10.0);
    CHECK(wait_with(12, 16) < wait_with(15, 16));
    CHECK(wait_with(15, 16) < wait_with(20, 16));
}

// Guards against a forecast that overflows when many requests are reported for
// an engine with few slots.
TEST_CASE("the wait at an engine with far too many streams is finite")
{
    for (std::uint32_t const slots : {0U, 1U, 16U}) {
        double const wait = wait_with(100'000, slots);
        CHECK(std::isfinite(wait));
        CHECK(wait > 1'000'000.0);
    }
}
