#include "routing/admission.hpp"

#include "routing/request_key.hpp"
#include "routing/retry_budget.hpp"
#include "routing/retry_rule.hpp"
#include "routing/stop_rule.hpp"
#include "routing/store_revisions.hpp"
#include "routing/support.hpp"
#include "routing/watch_wait.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <set>
#include <utility>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::attempt_end;
using routing::refusal_reason;
using routing::request_kind;

namespace {

routing::configuration config_with_keys()
{
    routing::configuration config;
    config.routes = {make_route("/a/", request_kind::at_most_once),
                     make_route("/open/", request_kind::at_most_once)};
    config.routes[1].is_public = true;
    config.teams = {{"desk", {"secret"}, {}}};
    return config;
}

} // namespace

TEST_CASE("a host without a configuration refuses with a retry delay")
{
    routing::key_lease const lease(5'000ms);
    auto const result =
        routing::admit(nullptr, lease, {"desk.example", "/a/x"});
    REQUIRE(result.refused);
    auto const refused = routing::refuse(*result.refused, false);
    CHECK(refused.status == 503);
    CHECK(refused.retry_after.has_value());
}

// A host loses its connection to the store and a key is revoked. Without a
// lease its holder's requests are accepted for the whole outage, without any
// symptom.
TEST_CASE("keys with an expired lease are refused")
{
    routing::route_table const table(config_with_keys());
    routing::key_lease lease(5'000ms);
    lease.renew(start);
    routing::admission_request request{
        "desk.example", "/a/x", "secret", start + 4'800ms};
    CHECK(routing::admit(&table, lease, request).team != nullptr);
    request.now = start + 5'000ms;
    CHECK(routing::admit(&table, lease, request).refused
          == refusal_reason::keys_stale);
    request.path = "/open/x";
    CHECK(!routing::admit(&table, lease, request).refused);
}

// A newer configuration, which this host lacks, revokes a key. If a host that
// has it could renew the lease here, the key would remain usable.
TEST_CASE("keys are confirmed only by hosts whose configuration is known here")
{
    routing::store_revisions const own{20, 12, 15};
    CHECK(own.covers_configuration({30, 12, 30}));
    CHECK(own.covers_configuration({10, 11, 30}));
    CHECK(!own.covers_configuration({20, 16, 20}));
    CHECK(!own.covers_configuration({20, 0, 0}));
}

TEST_CASE("a late confirmation never shortens the lease")
{
    routing::key_lease lease(5'000ms);
    lease.renew(start + 3'000ms);
    lease.renew(start);
    CHECK(lease.is_valid(start + 7'000ms));
}

TEST_CASE("missing and unknown keys have different refusal reasons")
{
    routing::route_table const table(config_with_keys());
    routing::key_lease lease(5'000ms);
    lease.renew(start);
    auto const outcome = [&](char const* path, char const* key) {
        return routing::admit(&table, lease, {"desk.example", path, key, start})
            .refused;
    };
    CHECK(outcome("/a/x", "") == refusal_reason::key_missing);
    CHECK(outcome("/a/x", "old") == refusal_reason::key_unknown);
    CHECK(outcome("/b/x", "secret") == refusal_reason::no_route);
    CHECK(!outcome("/a/x", "secret"));
}

// The connection of a booking breaks after the booking was sent. If the answer
// said that it has not run, the caller would book again.
TEST_CASE("a request that may have run is never reported as not run")
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

TEST_CASE("an at-most-once request is sent again only if it has not run")
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

// All engines of a service fail at once on every host. Without a budget each
// request is sent twice, while capacity is lowest.
TEST_CASE("retries stay within their share of the requests")
{
    routing::retry_budget allowance(0.2, 3.0);
    int retries = 0;
    constexpr int requests = 1'000;
    for (int sent = 0; sent < requests; ++sent) {
        allowance.record_request();
        retries += allowance.try_acquire() ? 1 : 0;
    }
    CHECK(retries <= requests / 5 + 3);
    CHECK(retries >= requests / 10);
}

TEST_CASE("an idle host's budget doesn't exceed its burst")
{
    routing::retry_budget allowance(0.2, 2.0);
    for (int sent = 0; sent < 1'000; ++sent) {
        allowance.record_request();
    }
    int retries = 0;
    while (allowance.try_acquire()) {
        ++retries;
    }
    CHECK(retries == 2);
}

// A caller opens long streams while the host is stopping. A stream that begins
// four seconds before the end is cut off.
TEST_CASE("a stopping host accepts only requests that it can finish")
{
    CHECK(routing::accepts_new_request(1'000ms, 8'000ms, 15'000ms));
    CHECK(!routing::accepts_new_request(3'500ms, 8'000ms, 15'000ms));
    CHECK(routing::accepts_new_request(3'500ms, 8'000ms, 800ms));
    CHECK(!routing::accepts_new_request(7'500ms, 8'000ms, 800ms));
    CHECK(!routing::accepts_new_request(1'500ms, 2'000ms, 15'000ms));
}

// Requests that outlast the process are cut off, and their callers lose the
// answer.
TEST_CASE("a stopping host accepts late requests only if they end in time")
{
    constexpr auto limit = 8'000ms;
    // The balancer's lag starts at the signal, whose timestamp may be late.
    CHECK(!routing::accepts_new_request(2'900ms, limit, 15'000ms));
    // The process exits before the limit.
    CHECK(!routing::accepts_new_request(4'900ms, limit, 3'000ms));
    for (auto since = 2'900ms; since < limit; since += 10ms) {
        for (auto duration = 100ms; duration < limit; duration += 100ms) {
            if (routing::accepts_new_request(since, limit, duration)) {
                CHECK(since + duration < limit - 250ms);
            }
        }
    }
}

// After an outage of the store all hosts start their watches at the same
// moment. If they also renewed their leases at the same moments, all leases
// would be equally old at the next outage, and callers with valid keys would be
// refused early.
TEST_CASE("hosts of a fleet renew their key leases at different times")
{
    routing::watch_inputs inputs;
    inputs.peers = 6;
    auto const min_wait = routing::watch_wait(inputs, 0.0);
    auto const max_wait = routing::watch_wait(inputs, 1.0);
    CHECK(max_wait - min_wait >= 2'000ms);
    CHECK(max_wait <= inputs.key_lifetime * 3 / 5);
    inputs.peers = 0;
    CHECK(routing::watch_wait(inputs, 0.0) <= inputs.key_lifetime * 2 / 5);
    inputs.peers = 70;
    inputs.is_shared = true;
    CHECK(routing::watch_wait(inputs, 1.0) < inputs.apply_limit / 3);
}

// Guards against requests that are taken for another one which crashes engines.
TEST_CASE("a request's key differs with each thing that makes it another one")
{
    routing::repeated_request const first{
        "GET", "desk.example", "/view/x?q=1", "desk", ""};
    auto method = first;
    method.method = "POST";
    auto authority = first;
    authority.authority = "other.example";
    auto query = first;
    query.target = "/view/x?q=2";
    auto caller = first;
    caller.caller = "other";
    auto body = first;
    body.body = "order";
    auto swapped = first;
    std::swap(swapped.caller, swapped.body);
    std::set<std::uint64_t> keys;
    for (auto const& item :
         {first, method, authority, query, caller, body, swapped}) {
        keys.insert(routing::request_key(item));
    }
    CHECK(keys.size() == 7);
    CHECK(routing::request_key(first) == routing::request_key({first}));
    // Equal texts don't cancel each other.
    CHECK(routing::request_key({"", "", "", "a", "a"})
          != routing::request_key({"", "", "", "b", "b"}));
}

// A host that can't read its clock may have been suspended for longer than the
// lease, and would use a key that was revoked meanwhile.
TEST_CASE("keys are refused while the clock of the lease can't be read")
{
    routing::key_lease lease(5'000ms);
    lease.renew(start);
    lease.clock_lost();
    CHECK(!lease.is_valid(start));
    CHECK(!lease.as_of());
    lease.renew(start + 1s);
    CHECK(!lease.is_valid(start + 1s));
    lease.clock_regained();
    CHECK(lease.is_valid(start + 2s));
    CHECK(!lease.is_valid(start + 6s));
}
