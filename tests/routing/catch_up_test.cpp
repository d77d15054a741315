#include "routing/catch_up.hpp"

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

TEST_CASE("a host nearby that knows more is asked at once")
{
    routing::catch_up turn;
    routing::catch_up::facts const about{true, false, false};
    CHECK(!turn.is_due({}, about, start));
    CHECK(turn.is_due(source_at(true), about, start));
}

TEST_CASE("a host that watches the store itself asks others late")
{
    routing::catch_up turn;
    routing::catch_up::facts const about{true, true, false};
    CHECK(!turn.is_due(source_at(true), about, start));
    CHECK(!turn.is_due(source_at(true), about, start + 400ms));
    CHECK(turn.is_due(source_at(true), about, start + 500ms));
}

TEST_CASE("a change far off is left to the host that speaks, for a while")
{
    routing::catch_up turn;
    routing::catch_up::facts const about{true, false, false};
    CHECK(!turn.is_due(source_at(false), about, start));
    CHECK(turn.is_due(source_at(false), about, start + 500ms));
    routing::catch_up speaker;
    CHECK(speaker.is_due(source_at(false), {true, false, true}, start));
}

// Asked for again at once, large lists fill the links of those that have them.
TEST_CASE("after a large list a host rests, but not for long")
{
    routing::catch_up turn;
    routing::catch_up::facts const about{true, false, false};
    turn.rest(40'000, 10, start);
    CHECK(!turn.is_due(source_at(true), about, start + 40ms));
    CHECK(turn.is_due(source_at(true), about, start + 50ms));
    turn.rest(10'000'000, 70, start);
    CHECK(turn.is_due(source_at(true), about, start + 800ms));
}

// Hosts that all have trouble with a peer's link would otherwise wait for it
// while the store itself is well.
TEST_CASE("a host knows for how long it has lacked a change")
{
    routing::catch_up turn;
    CHECK(turn.lag(5, 5, start) == 0ms);
    CHECK(turn.lag(5, 7, start + 100ms) == 0ms);
    CHECK(turn.lag(5, 9, start + 600ms) == 500ms);
    // It has what it lacked first; what came later counts from now.
    CHECK(turn.lag(7, 9, start + 700ms) == 0ms);
    CHECK(turn.lag(7, 9, start + 900ms) == 200ms);
    CHECK(turn.lag(9, 9, start + 950ms) == 0ms);
}
