#include "routing/upstream_limit.hpp"

#include "routing/peer_table.hpp"
#include "routing/picker.hpp"
#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;
using routing::limit_share;
using routing::upstream_limit;

namespace {

model::time_point const start{std::chrono::hours(1)};
constexpr model::milliseconds window{4'000};

/// Hosts that share an upstream's limit. Each one has a request for it at any
/// time within `run`.
struct fleet
{
    std::vector<upstream_limit> hosts;
    std::vector<model::time_point> sent;

    fleet(std::size_t count, double requests_per_second)
        : hosts(count)
    {
        for (std::size_t rank = 0; rank < count; ++rank) {
            limit_share share{rank, count, true, count};
            share.phase =
                static_cast<double>(rank) / static_cast<double>(count);
            hosts[rank].update({requests_per_second, start});
            hosts[rank].set_share(share);
        }
    }

    void run(model::milliseconds from, model::milliseconds until)
    {
        for (auto now = start + from; now < start + until; now += 10ms) {
            for (upstream_limit& host : hosts) {
                if (host.may_send(now)) {
                    host.record_send(now);
                    sent.push_back(now);
                }
            }
        }
    }

    std::size_t max_in_window() const
    {
        std::size_t max_count = 0;
        for (std::size_t first = 0; first < sent.size(); ++first) {
            auto const after = std::upper_bound(
                sent.begin(), sent.end(), sent[first] + window);
            max_count = std::max(max_count,
                                 static_cast<std::size_t>(after - sent.begin())
                                     - first);
        }
        return max_count;
    }
};

/// Returns the requests that an upstream with this limit may get in a window.
double allowed(double requests_per_second)
{
    return 1.5 * requests_per_second * model::seconds(window).count() + 5.0;
}

} // namespace

// If each of seven hosts uses the whole limit, an overloaded upstream gets
// seven times as many requests and fails.
TEST_CASE("a fleet respects an upstream's limit from the first moment")
{
    for (std::size_t const count : {1, 3, 7, 12, 70}) {
        for (double const requests_per_second :
             {0.0, 0.1, 0.5, 1.3, 1.6, 5.0, 40.0}) {
            CAPTURE(count);
            CAPTURE(requests_per_second);
            fleet busy(count, requests_per_second);
            busy.run(0s, 60s);
            CHECK(busy.max_in_window() <= allowed(requests_per_second));
            fleet idle(count, requests_per_second);
            idle.run(8s, 14s);
            CHECK(idle.max_in_window() <= allowed(requests_per_second));
        }
    }
}

// An upstream that accepts two requests per second and gets none is lost
// capacity.
TEST_CASE("most of a limited upstream's capacity is used")
{
    for (std::size_t const count : {1, 7, 12, 70}) {
        for (double const requests_per_second : {0.5, 1.6, 5.0}) {
            CAPTURE(count);
            CAPTURE(requests_per_second);
            fleet busy(count, requests_per_second);
            busy.run(0s, 14s);
            CHECK(static_cast<double>(busy.sent.size())
                  >= requests_per_second * 14 * 0.5);
        }
    }
}

// The hosts that share the limit may all be gone. Without probes the other
// hosts would never learn that the limit has ended.
TEST_CASE("an upstream with a stale limit is probed at a low rate")
{
    for (double const requests_per_second : {0.0, 1.6}) {
        fleet outsiders(70, requests_per_second);
        for (upstream_limit& host : outsiders.hosts) {
            limit_share share = host.share();
            share.participates = false;
            host.set_share(share);
        }
        outsiders.run(0s, 15s);
        CHECK(outsiders.sent.empty());
        outsiders.run(15s, 60s);
        CHECK(!outsiders.sent.empty());
        CHECK(outsiders.max_in_window() <= allowed(requests_per_second));
    }
}

TEST_CASE("the newest notice of an upstream applies, whoever received it")
{
    upstream_limit limit;
    CHECK(!limit.is_limited());
    CHECK(limit.may_send(start));
    CHECK(limit.update({1.0, start}));
    CHECK(!limit.update({2.0, start + 1s}));
    // Older: from a host that received it before.
    CHECK(!limit.update({std::nullopt, start + 500ms}));
    CHECK(limit.is_limited());
    CHECK(*limit.notice().requests_per_second == 2.0);
    CHECK(limit.update({std::nullopt, start + 2s}));
    CHECK(limit.may_send(start + 2s));
}

namespace {

model::endpoint at(int number)
{
    return {"10.0.0." + std::to_string(number), 7'000};
}

} // namespace

TEST_CASE("hosts that exchange digests have distinct ranks")
{
    constexpr int count = 7;
    constexpr std::uint32_t engine = 99;
    std::vector<std::size_t> ranks;
    for (int own = 0; own < count; ++own) {
        routing::peer_table table(at(own), 1, {});
        for (int other = 0; other < count; ++other) {
            if (other != own) {
                routing::peer_digest digest;
                digest.generation = 1;
                digest.sequence = 1;
                digest.data_centre = 1 + other % 3;
                table.record_digest(at(other), digest, start);
            }
        }
        auto const share = table.limit_share_for(engine, own % 3 == 0);
        CHECK(share.hosts == count);
        CHECK(share.participates);
        ranks.push_back(share.rank);
    }
    std::sort(ranks.begin(), ranks.end());
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        CHECK(ranks[rank] == rank);
    }
}

// A limit received from another host takes effect before this host has seen an
// answer of its own; its end allows requests again.
TEST_CASE("a host learns of a limit and its end from other hosts")
{
    routing::peer_table table(at(0), 1, {});
    routing::peer_digest digest;
    digest.generation = 1;
    digest.data_centre = 1;
    digest.sequence = 1;
    digest.limits = {{7, 1.5, 200ms}};
    table.record_digest(at(1), digest, start);
    digest.limits = {{7, std::nullopt, 100ms}};
    table.record_digest(at(2), digest, start);
    table.aggregate();
    REQUIRE(table.limit_of(7));
    CHECK(!table.limit_of(7)->requests_per_second);
    CHECK(table.limit_of(7)->received_at == start - 100ms);
    digest.sequence = 2;
    digest.limits = {{7, 1.2, 0ms}};
    table.record_digest(at(1), digest, start + 1s);
    table.aggregate();
    CHECK(table.limit_of(7)->requests_per_second == 1.2);
    CHECK(!table.limit_of(8));
}

TEST_CASE("limits are exchanged between data centres")
{
    constexpr int hosts_per_data_centre = 8;
    // This host aggregates data centre 1 if no other host of it ranks before.
    std::vector<routing::peer_digest> aggregator_digests;
    for (int own = 0; own < hosts_per_data_centre; ++own) {
        routing::peer_table table(at(own), 1, {});
        for (int other = 0; other < 2 * hosts_per_data_centre; ++other) {
            if (other == own) {
                continue;
            }
            routing::peer_digest digest;
            digest.generation = 1;
            digest.sequence = 1;
            digest.data_centre = other < hosts_per_data_centre ? 1 : 2;
            digest.is_aggregator = other == hosts_per_data_centre;
            if (other == (own + 1) % hosts_per_data_centre) {
                digest.limits = {{7, 1.5, 200ms}};
            }
            if (digest.is_aggregator) {
                digest.limits = {{8, 2.5, 300ms}};
            }
            table.record_digest(at(other), digest, start);
        }
        if (table.is_aggregator()) {
            auto const digests = table.make_digests({});
            aggregator_digests.push_back(digests.aggregated_loads);
            REQUIRE(digests.loads.limits.size() == 1);
            CHECK(digests.loads.limits[0].upstream == 8);
            CHECK(digests.loads.limits[0].age == 300ms);
        }
    }
    REQUIRE(aggregator_digests.size() == 1);
    REQUIRE(aggregator_digests[0].limits.size() == 1);
    CHECK(aggregator_digests[0].limits[0].upstream == 7);
}

// Guards against hosts that have been cut off from a large fleet: each of them
// would take itself for the first of a few that share every upstream's limit.
TEST_CASE("a host that is cut off from a large fleet shares local limits alone")
{
    constexpr int count = 30;
    constexpr std::uint32_t engine = 99;
    routing::peer_table table(at(0), 1, {});
    for (int other = 1; other < count; ++other) {
        routing::peer_digest digest;
        digest.generation = 1;
        digest.sequence = 1;
        digest.data_centre = 1 + other % 3;
        table.record_digest(at(other), digest, start);
    }
    CHECK(!table.limit_share_for(engine, false).participates);
    table.forget_silent(start + 60s);
    REQUIRE(table.alive() == 0);
    CHECK(!table.limit_share_for(engine, false).participates);
    auto const local = table.limit_share_for(engine, true);
    CHECK(local.participates);
    CHECK(local.hosts == count);
}
