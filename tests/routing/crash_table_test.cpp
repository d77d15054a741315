#include "routing/crash_table.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

model::time_point const start{std::chrono::hours(1)};
routing::shared_part const guilty{1, 5};

/// A crash at which a part was in flight, sent `before` it.
routing::upstream_crash crash_of(std::uint64_t engine,
                                 model::time_point at,
                                 model::milliseconds before,
                                 std::uint64_t part = guilty.id)
{
    return {engine, 1, 1, at, {{part, at - before, false, true}}};
}

std::size_t crashes_in_sequence(routing::crash_table const& table)
{
    return table
        .in_sequence(guilty,
                     [](auto const&) {
                         return false;
                     })
        .size();
}

routing::shared_part const repeated{1, 5, routing::part_kind::request};

/// A crash at which a whole request was in flight.
routing::upstream_crash repeat_crash(std::uint64_t engine, model::time_point at)
{
    auto crash = crash_of(engine, at, 50ms, repeated.id);
    crash.candidates.front().kind = routing::part_kind::request;
    return crash;
}

bool is_cause(routing::crash_table const& table)
{
    return table.is_cause(repeated, [](auto const&) {
        return false;
    });
}

} // namespace

// Guards against crashes at copies of a request that several hosts sent at the
// same moment, and that count as one each time.
TEST_CASE("crashes of copies count once a later one has shown the same")
{
    routing::crash_table table{routing::poison_limits{}};
    table.record(repeat_crash(1, start));
    table.record(repeat_crash(2, start + 10ms));
    CHECK_FALSE(is_cause(table));
    SUBCASE("another outage")
    {
        table.record(repeat_crash(3, start + 4s));
        CHECK(is_cause(table));
    }
    SUBCASE("the same outage")
    {
        table.record(repeat_crash(3, start + 300ms));
        CHECK_FALSE(is_cause(table));
    }
    SUBCASE("the same outage, and requests that were repeated in it")
    {
        table.record(repeat_crash(3, start + 70ms));
        table.record(repeat_crash(4, start + 80ms));
        CHECK_FALSE(is_cause(table));
    }
    SUBCASE("beside crashes without it")
    {
        for (std::uint64_t engine = 11; engine < 15; ++engine) {
            table.record(crash_of(engine, start + 3s, 50ms, 6));
        }
        table.record(repeat_crash(3, start + 4s));
        CHECK_FALSE(is_cause(table));
        table.record(repeat_crash(4, start + 8s));
        CHECK_FALSE(is_cause(table));
        table.record(repeat_crash(5, start + 12s));
        CHECK(is_cause(table));
    }
    SUBCASE("answered before")
    {
        table.trust(repeated);
        table.record(repeat_crash(3, start + 4s));
        table.record(repeat_crash(4, start + 8s));
        CHECK_FALSE(is_cause(table));
        table.record(repeat_crash(5, start + 12s));
        CHECK(is_cause(table));
    }
}

// Guards against evidence that goes each time another host tells of a crash
// again.
TEST_CASE("a crash that is told again takes no other one's place")
{
    constexpr std::uint64_t kept = 512;
    auto const crash_at = [](std::uint64_t engine) {
        return crash_of(engine, start + engine * 100ms, 50ms, engine);
    };
    routing::crash_table table{routing::poison_limits{}};
    for (std::uint64_t engine = 1; engine <= kept; ++engine) {
        table.record(crash_at(engine));
    }
    table.record(crash_at(kept));
    CHECK(table.knows(1));
    table.record(crash_at(kept + 1));
    CHECK_FALSE(table.knows(1));
    CHECK(table.knows(2));
}

// Guards against sound requests that are refused because hosts lost their links
// to upstreams, twice in a row.
TEST_CASE("an upstream that goes on has not crashed")
{
    routing::crash_table table{routing::poison_limits{}};
    auto const first_cut = crash_of(1, start, 150ms);
    auto const second_cut = crash_of(1, start + 700ms, 50ms, 6);
    SUBCASE("told in this order")
    {
        table.record(first_cut);
        CHECK(crashes_in_sequence(table) == 1);
        table.record(second_cut);
    }
    SUBCASE("told in the other order")
    {
        table.record(second_cut);
        table.record(first_cut);
    }
    CHECK(crashes_in_sequence(table) == 0);
}

TEST_CASE("links that are lost twice to two upstreams are no sequence")
{
    routing::crash_table table{routing::poison_limits{}};
    for (auto const at : {start, start + 700ms}) {
        table.record(crash_of(1, at, 50ms));
        table.record(crash_of(2, at + 15ms, 50ms));
    }
    table.record(crash_of(3, start + 5s, 50ms));
    CHECK(crashes_in_sequence(table) == 2);
}

// News of others take their time.
TEST_CASE("a request that was sent just before a crash is in flight at it")
{
    routing::crash_table table{routing::poison_limits{}};
    table.record(crash_of(1, start, 150ms, 6));
    table.record(crash_of(1, start + 120ms, 20ms));
    CHECK(crashes_in_sequence(table) == 1);
}

// Guards against crashes that come back when a host that has missed their
// refutation tells of them, and against later ones that are taken for them.
TEST_CASE("a crash that is refuted counts no longer, and the next one does")
{
    routing::crash_table table{routing::poison_limits{}};
    table.record(crash_of(1, start, 50ms));
    table.refute({1, start});
    CHECK(crashes_in_sequence(table) == 0);
    CHECK_FALSE(table.knows(1));
    table.record(crash_of(1, start + 20ms, 50ms));
    CHECK(crashes_in_sequence(table) == 0);
    table.record(crash_of(1, start + 1s, 50ms));
    CHECK(crashes_in_sequence(table) == 1);
    CHECK(table.knows(1));
}
