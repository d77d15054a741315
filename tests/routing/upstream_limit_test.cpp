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

/// Hosts that share an upstream's limit; each has a request for it at all
/// times, but for those before `idle_for`.
struct fleet
{
    std::vector<upstream_limit> hosts;
    std::vector<model::time_point> sent;

    fleet(std::size_t count, double requests_per_second)
        : hosts(count)
    {
        for (std::size_t rank = 0; rank < count; ++rank) {
            limit_share place{rank, count, true, count};
            place.phase =
                static_cast<double>(rank) / static_cast<double>(count);
            hosts[rank].update({requests_per_second, start});
            hosts[rank].set_share(place);
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

    std::size_t most_in_a_window() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < sent.size(); ++first) {
            auto const after = std::upper_bound(
                sent.begin(), sent.end(), sent[first] + window);
            most = std::max(
                most, static_cast<std::size_t>(after - sent.begin()) - first);
        }
        return most;
    }
};

/// What an upstream that names `a_second` may get in a window.
double allowed(double requests_per_second)
{
    return 1.5 * requests_per_second * model::seconds(window).count() + 5.0;
}

} // namespace

// Seven hosts that each take the limit for their own send seven times as much,
// and the upstream that asked for less falls over.
TEST_CASE("a fleet keeps an upstream's limit, from the first moment on")
{
    for (std::size_t const count : {1, 3, 7, 12, 70}) {
        for (double const requests_per_second :
             {0.0, 0.1, 0.5, 1.3, 1.6, 5.0, 40.0}) {
            CAPTURE(count);
            CAPTURE(requests_per_second);
            fleet busy(count, requests_per_second);
            busy.run(0s, 60s);
            CHECK(busy.most_in_a_window() <= allowed(requests_per_second));
            fleet idle(count, requests_per_second);
            idle.run(8s, 14s);
            CHECK(idle.most_in_a_window() <= allowed(requests_per_second));
        }
    }
}

// An upstream that takes two requests a second and gets none is a server lost.
TEST_CASE("most of what a limited upstream takes is sent")
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

// The hosts that share the limit may be gone, and nobody would ever hear that
// it has ended.
TEST_CASE("an upstream whose limit nobody hears of is tried again, by few")
{
    for (double const requests_per_second : {0.0, 1.6}) {
        fleet others(70, requests_per_second);
        for (upstream_limit& host : others.hosts) {
            limit_share place = host.share();
            place.participates = false;
            host.set_share(place);
        }
        others.run(0s, 15s);
        CHECK(others.sent.empty());
        others.run(15s, 60s);
        CHECK(!others.sent.empty());
        CHECK(others.most_in_a_window() <= allowed(requests_per_second));
    }
}

TEST_CASE("the newest word of an upstream holds, whoever heard it")
{
    upstream_limit limit;
    CHECK(!limit.is_limited());
    CHECK(limit.may_send(start));
    CHECK(limit.update({1.0, start}));
    CHECK(!limit.update({2.0, start + 1s}));
    // Older: from a host that heard it before.
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

TEST_CASE("hosts that hear each other have places of their own")
{
    constexpr int count = 7;
    constexpr std::uint32_t engine = 99;
    std::vector<std::size_t> ranks;
    for (int own = 0; own < count; ++own) {
        routing::peer_table table(at(own), 1, {});
        for (int other = 0; other < count; ++other) {
            if (other != own) {
                routing::peer_digest told;
                told.generation = 1;
                told.sequence = 1;
                told.data_centre = 1 + other % 3;
                table.record_digest(at(other), told, start);
            }
        }
        auto const place = table.limit_share_for(engine, own % 3 == 0);
        CHECK(place.hosts == count);
        CHECK(place.participates);
        ranks.push_back(place.rank);
    }
    std::sort(ranks.begin(), ranks.end());
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        CHECK(ranks[rank] == rank);
    }
}

// Told by one host, a limit keeps the others from sending before they have
// seen an answer themselves; its end lets them send again.
TEST_CASE("a host learns of a limit and of its end from the others")
{
    routing::peer_table table(at(0), 1, {});
    routing::peer_digest told;
    told.generation = 1;
    told.data_centre = 1;
    told.sequence = 1;
    told.limits = {{7, 1.5, 200ms}};
    table.record_digest(at(1), told, start);
    told.limits = {{7, std::nullopt, 100ms}};
    table.record_digest(at(2), told, start);
    table.aggregate();
    REQUIRE(table.limit_of(7));
    CHECK(!table.limit_of(7)->requests_per_second);
    CHECK(table.limit_of(7)->received_at == start - 100ms);
    told.sequence = 2;
    told.limits = {{7, 1.2, 0ms}};
    table.record_digest(at(1), told, start + 1s);
    table.aggregate();
    CHECK(table.limit_of(7)->requests_per_second == 1.2);
    CHECK(!table.limit_of(8));
}

TEST_CASE("limits cross between data centres")
{
    constexpr int hosts_of_one = 8;
    // This host speaks for centre 1 if no other of it ranks before.
    std::vector<routing::peer_digest> aggregated_loads;
    for (int own = 0; own < hosts_of_one; ++own) {
        routing::peer_table table(at(own), 1, {});
        for (int other = 0; other < 2 * hosts_of_one; ++other) {
            if (other == own) {
                continue;
            }
            routing::peer_digest told;
            told.generation = 1;
            told.sequence = 1;
            told.data_centre = other < hosts_of_one ? 1 : 2;
            told.is_aggregator = other == hosts_of_one;
            if (other == (own + 1) % hosts_of_one) {
                told.limits = {{7, 1.5, 200ms}};
            }
            if (told.is_aggregator) {
                told.limits = {{8, 2.5, 300ms}};
            }
            table.record_digest(at(other), told, start);
        }
        if (table.is_aggregator()) {
            auto const news = table.make_digests({});
            aggregated_loads.push_back(news.aggregated_loads);
            REQUIRE(news.loads.limits.size() == 1);
            CHECK(news.loads.limits[0].upstream == 8);
            CHECK(news.loads.limits[0].age == 300ms);
        }
    }
    REQUIRE(aggregated_loads.size() == 1);
    REQUIRE(aggregated_loads[0].limits.size() == 1);
    CHECK(aggregated_loads[0].limits[0].upstream == 7);
}
