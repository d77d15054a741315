#include "routing/admission.hpp"

#include "routing/retry_budget.hpp"
#include "routing/retry_rule.hpp"
#include "routing/stop_rule.hpp"
#include "routing/store_revisions.hpp"
#include "routing/support.hpp"
#include "routing/watch_wait.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::attempt_end;
using routing::refusal_reason;
using routing::request_kind;

namespace {

routing::configuration keyed()
{
    routing::configuration lists;
    lists.routes = {make_route("/a/", request_kind::at_most_once),
                    make_route("/open/", request_kind::at_most_once)};
    lists.routes[1].is_public = true;
    lists.teams = {{"desk", {"secret"}, {}}};
    return lists;
}

} // namespace

TEST_CASE("a host without a configuration refuses and says when to come back")
{
    routing::key_lease const keys(5'000ms);
    auto const made = routing::admit(nullptr, keys, {"desk.example", "/a/x"});
    REQUIRE(made.refused);
    auto const refused = routing::refuse(*made.refused, false);
    CHECK(refused.status == 503);
    CHECK(refused.retry_after.has_value());
}

// A host loses its way to the store, and a key is taken away meanwhile. Its
// holder's requests would be served for as long as the cut lasts, and nobody
// would notice.
TEST_CASE("keys that were confirmed too long ago are not acted on")
{
    routing::route_table const table(keyed());
    routing::key_lease keys(5'000ms);
    keys.renew(start);
    routing::admission_request request{
        "desk.example", "/a/x", "secret", start + 4'800ms};
    CHECK(routing::admit(&table, keys, request).team != nullptr);
    request.now = start + 5'000ms;
    CHECK(routing::admit(&table, keys, request).refused
          == refusal_reason::keys_stale);
    request.path = "/open/x";
    CHECK(!routing::admit(&table, keys, request).refused);
}

// A key was taken away by a configuration that this host lacks. Confirmed by a
// host that has it, the key would go on working here.
TEST_CASE("keys are confirmed only by hosts whose configuration is here too")
{
    routing::store_revisions const own{20, 12, 15};
    CHECK(own.covers_configuration({30, 12, 30}));
    CHECK(own.covers_configuration({10, 11, 30}));
    CHECK(!own.covers_configuration({20, 16, 20}));
    CHECK(!own.covers_configuration({20, 0, 0}));
}

TEST_CASE("a confirmation that comes late never makes a belief older")
{
    routing::key_lease keys(5'000ms);
    keys.renew(start + 3'000ms);
    keys.renew(start);
    CHECK(keys.is_valid(start + 7'000ms));
}

TEST_CASE("keys are looked up, and their absence is told apart")
{
    routing::route_table const table(keyed());
    routing::key_lease keys(5'000ms);
    keys.renew(start);
    auto const outcome = [&](char const* path, char const* key) {
        return routing::admit(&table, keys, {"desk.example", path, key, start})
            .refused;
    };
    CHECK(outcome("/a/x", "") == refusal_reason::key_missing);
    CHECK(outcome("/a/x", "old") == refusal_reason::key_unknown);
    CHECK(outcome("/b/x", "secret") == refusal_reason::no_route);
    CHECK(!outcome("/a/x", "secret"));
}

// A booking's connection breaks after the booking was sent. Told "not run",
// the caller would book again.
TEST_CASE("what may have run is never answered with a promise")
{
    for (auto const reason : {refusal_reason::no_upstream,
                              refusal_reason::too_late,
                              refusal_reason::upstream_full,
                              refusal_reason::keys_stale,
                              refusal_reason::quarantined,
                              refusal_reason::stopping,
                              refusal_reason::upstream_failed,
                              refusal_reason::timed_out}) {
        CAPTURE(routing::to_string(reason));
        auto const unknown = routing::refuse(reason, true);
        CHECK(unknown.status != 503);
        CHECK(unknown.status != 429);
        CHECK(!unknown.retry_after);
        auto const not_run = routing::refuse(reason, false);
        CHECK(not_run.status == 503);
        CHECK(not_run.retry_after.has_value());
    }
}

TEST_CASE("what must not run twice is sent again only if it has not run")
{
    auto booking = make_route("/a/", request_kind::at_most_once);
    booking.max_attempts = 2;
    routing::attempt_state const once{1, 0, false};
    CHECK(routing::may_retry(booking, attempt_end::not_run, once));
    for (auto const end :
         {attempt_end::broken, attempt_end::failed, attempt_end::silent}) {
        CHECK(!routing::may_retry(booking, end, once));
    }
    CHECK(routing::may_retry(booking, attempt_end::unreachable, {0, 1, false}));
    CHECK(!routing::may_retry(booking, attempt_end::not_run, {2, 0, false}));
    auto stream = make_route("/s/", request_kind::stream);
    stream.max_attempts = 2;
    CHECK(!routing::may_retry(stream, attempt_end::broken, once));
    stream.resumable = true;
    CHECK(routing::may_retry(stream, attempt_end::broken, once));
}

// All engines of a service fail at once on every host. Unbounded, each
// request would be sent twice, when there is least room for it.
TEST_CASE("second sends keep to their share of the requests")
{
    routing::retry_budget allowance(0.2, 3.0);
    int taken = 0;
    constexpr int requests = 1'000;
    for (int sent = 0; sent < requests; ++sent) {
        allowance.record_request();
        taken += allowance.try_acquire() ? 1 : 0;
    }
    CHECK(taken <= requests / 5 + 3);
    CHECK(taken >= requests / 10);
}

TEST_CASE("an idle host's budget doesn't grow beyond its part")
{
    routing::retry_budget allowance(0.2, 2.0);
    for (int sent = 0; sent < 1'000; ++sent) {
        allowance.record_request();
    }
    int taken = 0;
    while (allowance.try_acquire()) {
        ++taken;
    }
    CHECK(taken == 2);
}

// A host is told to stop while a caller still opens long streams: one that
// begins four seconds before the end is cut off in the middle.
TEST_CASE("a stopping host takes only what it can finish")
{
    CHECK(routing::accepts_new_request(1'000ms, 8'000ms, 15'000ms));
    CHECK(!routing::accepts_new_request(3'500ms, 8'000ms, 15'000ms));
    CHECK(routing::accepts_new_request(3'500ms, 8'000ms, 800ms));
    CHECK(!routing::accepts_new_request(7'500ms, 8'000ms, 800ms));
    CHECK(!routing::accepts_new_request(1'500ms, 2'000ms, 15'000ms));
}

// A stopping host cuts off what it has taken, and a caller loses its answer.
TEST_CASE("a stopping host takes late requests only if they end before it")
{
    constexpr auto limit = 8'000ms;
    // The balancer's lag counts from the signal, which may be stamped late.
    CHECK(!routing::accepts_new_request(2'900ms, limit, 15'000ms));
    // The process leaves before the limit.
    CHECK(!routing::accepts_new_request(4'900ms, limit, 3'000ms));
    for (auto since = 2'900ms; since < limit; since += 10ms) {
        for (auto longest = 100ms; longest < limit; longest += 100ms) {
            if (routing::accepts_new_request(since, limit, longest)) {
                CHECK(since + longest < limit - 250ms);
            }
        }
    }
}

// The store comes back and all hosts watch it anew at the same moment. If
// they also confirmed their keys at the same moments, the next outage would
// find all of them equally old, and callers with good keys be refused early.
TEST_CASE("hosts of a fleet confirm their keys at different times")
{
    routing::watch_inputs inputs;
    inputs.peers = 6;
    auto const shortest = routing::watch_wait(inputs, 0.0);
    auto const longest = routing::watch_wait(inputs, 1.0);
    CHECK(longest - shortest >= 2'000ms);
    CHECK(longest <= inputs.key_lifetime * 3 / 5);
    inputs.peers = 0;
    CHECK(routing::watch_wait(inputs, 0.0) <= inputs.key_lifetime * 2 / 5);
    inputs.peers = 70;
    inputs.is_shared = true;
    CHECK(routing::watch_wait(inputs, 1.0) < inputs.apply_limit / 3);
}
