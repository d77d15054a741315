#include "decide/quarantine.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t guilty = 1'000'000;
constexpr std::size_t told_at_a_time = 48;

/// Crashes of engine 7 with `count` requests in flight, each new.
void crash_with(decide::quarantine& known,
                std::uint64_t first,
                std::uint64_t count,
                model::time_point now)
{
    for (std::uint64_t id = first; id < first + count; ++id) {
        known.record_crash(id, 7, true, now);
    }
}

} // namespace

// Guards against a request whose evidence is crowded out by those that were
// beside crashes of other causes.
TEST_CASE("a request that crashes engines is quarantined in a full table")
{
    model::time_point const start{std::chrono::hours(1)};
    decide::quarantine known;
    crash_with(known, 1, 5'000, start);
    CHECK_FALSE(known.record_crash(guilty, 1, true, start + 5s));
    crash_with(known, 10'000, 3'000, start + 6s);
    CHECK(known.record_crash(guilty, 2, true, start + 10s));
    CHECK(known.remaining(guilty, start + 11s) > 0ms);
}

TEST_CASE("other hosts are told first of the requests with the most evidence")
{
    model::time_point const start{std::chrono::hours(1)};
    decide::quarantine known;
    known.record_crash(guilty, 1, true, start);
    known.record_crash(guilty, 2, true, start + 5s);
    crash_with(known, 1, 500, start + 6s);
    auto const told = known.seen_here(told_at_a_time);
    REQUIRE(told.size() == told_at_a_time);
    CHECK(told.front().fingerprint == guilty);
}

// Guards against crashes at copies that hosts sent at the same moment, and that
// count as one.
TEST_CASE("crashes of a request at three engines add up over their hosts"
          * doctest::skip())
{
    model::time_point const start{std::chrono::hours(1)};
    decide::quarantine fourth;
    for (decide::index engine = 0; engine < 3; ++engine) {
        decide::quarantine host;
        host.record_crash(guilty, engine, true, start);
        for (auto const& told : host.seen_here(told_at_a_time)) {
            fourth.merge(told.fingerprint,
                         told.record.evidence,
                         host.remaining(guilty, start),
                         start + 1s);
        }
    }
    CHECK(fourth.remaining(guilty, start + 1s) > 0ms);
}
