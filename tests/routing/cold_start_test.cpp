#include "routing/cold_start.hpp"

#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::cold_start;

namespace {

constexpr double cold_rate = 15.0;
constexpr model::milliseconds cold_time{3'000};

/// Hosts of which each always has a request for one engine that is cold.
struct busy_fleet
{
    std::vector<cold_start> hosts;
    std::vector<model::time_point> sent;

    /// `spread`: time within which the hosts learn that the engine is cold.
    /// `sharers`: hosts in the engine's data centre. `idle`: time without
    /// requests.
    busy_fleet(std::size_t count,
               std::size_t sharers,
               model::milliseconds spread,
               model::milliseconds idle)
        : hosts(count)
    {
        std::mt19937 random(7);
        std::uniform_int_distribution<std::int64_t> delay(0, spread.count());
        for (std::size_t rank = 0; rank < count; ++rank) {
            auto const learned = start + model::milliseconds(delay(random));
            routing::limit_share share{rank, sharers, rank < sharers, count};
            share.phase =
                static_cast<double>(rank) / static_cast<double>(count);
            hosts[rank].extend(start + cold_time, learned);
            hosts[rank].set_limit(cold_rate, share, learned);
        }
        auto const first = start + std::max(spread, idle);
        for (auto now = first; now < start + cold_time; now += 10ms) {
            for (cold_start& host : hosts) {
                if (host.next_send(now) <= now) {
                    host.record_send(now);
                    sent.push_back(now);
                }
            }
        }
    }

    std::size_t max_in_a_second() const
    {
        std::size_t max_count = 0;
        for (auto first = sent.begin(); first != sent.end(); ++first) {
            auto const after = std::upper_bound(first, sent.end(), *first + 1s);
            max_count =
                std::max(max_count, static_cast<std::size_t>(after - first));
        }
        return max_count;
    }
};

} // namespace

// Guards against an engine that crashes again because all hosts place their
// requests on it at once after its start.
TEST_CASE("a fleet sends a cold engine no more than it takes")
{
    for (std::size_t const count : {1, 7, 15, 88, 295}) {
        for (model::milliseconds const spread : {0ms, 400ms, 1'000ms}) {
            CAPTURE(count);
            CAPTURE(spread.count());
            for (std::size_t const data_centres : {1, 6}) {
                std::size_t const sharers =
                    std::max<std::size_t>(1, count / data_centres);
                busy_fleet const busy(count, sharers, spread, 0ms);
                CHECK(busy.max_in_a_second() <= cold_rate * 1.5 + 5.0);
                // It serves a part of what it takes, too.
                CHECK(static_cast<double>(busy.sent.size()) >= cold_rate * 0.8);
                busy_fleet const sudden(count, sharers, spread, 2'000ms);
                CHECK(sudden.max_in_a_second() <= cold_rate * 1.5 + 5.0);
            }
        }
    }
}

TEST_CASE("an engine has no limit before and after its cold time")
{
    cold_start cold;
    CHECK(cold.next_send(start) <= start);
    CHECK(cold.extend(start + 2s, start));
    CHECK(!cold.extend(start + 3s, start + 1s));
    // An entry that arrives late does not shorten it.
    CHECK(!cold.extend(start + 2s, start + 1s));
    cold.set_limit(cold_rate, {0, 1, false}, start + 1s);
    CHECK(cold.next_send(start + 1s) == start + 3s);
    CHECK(cold.next_send(start + 3s) <= start + 3s);
    // The next start is limited anew.
    CHECK(cold.extend(start + 9s, start + 7s));
    cold.set_limit(cold_rate, {0, 1, false}, start + 7s);
    CHECK(cold.next_send(start + 7s) == start + 9s);
}

TEST_CASE("a cold engine whose service states no rate gets all requests")
{
    cold_start cold;
    cold.extend(start + 2s, start);
    cold.set_limit(std::nullopt, {0, 1, false}, start);
    CHECK(cold.next_send(start) <= start);
}
