#include "routing/placement_fleet.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::request_kind;

namespace {

request_load chats()
{
    request_load load;
    load.route = make_route("/chat/", request_kind::stream, 0);
    load.route.latency_target = 400ms;
    load.subjects = 800;
    load.shared_tokens = 170;
    load.own_tokens = 540;
    load.stream = 1'800ms;
    return load;
}

request_load letters()
{
    request_load load;
    load.route = make_route("/letter/", request_kind::stream, 1);
    load.route.latency_target = 600ms;
    load.subjects = 2'500;
    load.shared_tokens = 570;
    load.own_tokens = 1'800;
    load.stream = 200ms;
    return load;
}

request_load summaries()
{
    request_load load;
    load.route = make_route("/summary/", request_kind::stream, 2);
    load.route.latency_target = 1'500ms;
    load.subjects = 4'000;
    load.shared_tokens = 6'300;
    load.own_tokens = 2'900;
    load.stream = 350ms;
    return load;
}

/// Checks that all requests were served, and `min_on_time` of each kind in
/// time.
void check_callers(placement_fleet const& fleet, double min_on_time)
{
    for (request_result const& each : fleet.results()) {
        CAPTURE(each.sent);
        CAPTURE(each.share_forecast());
        CHECK(each.share_on_time() >= min_on_time);
        CHECK(each.turned_away == 0);
        CHECK(each.served == each.sent);
    }
}

} // namespace

// Guards against chats that queue at a few engines while most are free.
TEST_CASE("a burst of chats finds the free engines of a large fleet")
{
    placement_fleet fleet({295, 6, 192, 16}, {chats(), letters(), summaries()});
    fleet.play({}, 4s);
    fleet.play({110, 320, 500}, 1s);
    fleet.reset_results();
    fleet.play({400, 600, 700}, 3s);
    fleet.play({}, 2s);
    check_callers(fleet, 0.93);
}

// Guards against letters that wait at the engines that were idle a moment ago,
// with the prompts of all hosts, while others have room.
TEST_CASE("a burst of letters is spread over the engines of a large fleet")
{
    placement_fleet fleet({88, 6, 90, 64}, {chats(), letters(), summaries()});
    fleet.play({}, 4s);
    fleet.play({85, 230, 270}, 1s);
    fleet.reset_results();
    fleet.play({85, 1'800, 200}, 2s);
    fleet.play({}, 2s);
    check_callers(fleet, 0.95);
}
