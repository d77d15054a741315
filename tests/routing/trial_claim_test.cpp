#include "routing/poison_parts.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>

using namespace caperjunction;
using namespace std::chrono_literals;
using routing::part_judgement;
using routing::poison_parts;

namespace {

constexpr std::uint64_t version = 1;
model::time_point const start{std::chrono::hours(1)};
poison_parts::parts const request{{1, 5, routing::part_kind::request}};

/// Records a crash at which the request was in flight.
void record_crash(poison_parts& parts,
                  std::uint64_t engine,
                  model::time_point at)
{
    parts.record_crash({engine,
                        1,
                        version,
                        at,
                        {{5, at - 50ms, false, true, request.front().kind}}});
}

part_judgement judge(poison_parts const& parts, model::time_point now)
{
    return parts.judge(request, version, true, now);
}

} // namespace

// Guards against copies that run at several hosts although two crashes at one
// moment had them in flight.
TEST_CASE("a request at two crashes of one moment must claim its trial")
{
    poison_parts parts;
    record_crash(parts, 1, start);
    CHECK(judge(parts, start + 1s) == part_judgement::free);
    CHECK_FALSE(parts.needs_claim(request));
    record_crash(parts, 2, start + 10ms);
    CHECK(judge(parts, start + 1s) == part_judgement::trial);
    CHECK(parts.needs_claim(request));
    CHECK(parts.may_overtake(request));
    parts.record_answer(request, version, start + 1s);
    CHECK(judge(parts, start + 2s) == part_judgement::free);
}

// Guards against a trial that others pass by after two crashes in sequence.
TEST_CASE("no copy runs beside the trial of a request at crashes in sequence")
{
    poison_parts parts;
    record_crash(parts, 1, start);
    record_crash(parts, 2, start + 1s);
    CHECK(parts.needs_claim(request));
    CHECK_FALSE(parts.may_overtake(request));
}

// Guards against two hosts that both hold a claim, in whichever order they hear
// of each other.
TEST_CASE("of two claims the lower one holds")
{
    for (std::uint32_t const first : {3U, 9U}) {
        poison_parts parts;
        std::uint32_t const second = 12U - first;
        parts.begin_trial(request, 0, start, first);
        parts.begin_trial(request, 0, start + 10ms, second);
        CHECK(parts.holds_claim(request, 3));
        CHECK_FALSE(parts.holds_claim(request, 9));
    }
}

// Guards against a claim of a host that has ended, which holds forever.
TEST_CASE("a claim holds for a time, and until its trial is over")
{
    poison_parts parts;
    parts.begin_trial(request, 0, start, 3);
    SUBCASE("a later one after its time")
    {
        parts.begin_trial(request, 0, start + 1s, 9);
        CHECK(parts.holds_claim(request, 9));
    }
    SUBCASE("over")
    {
        parts.end_trial(request);
        CHECK_FALSE(parts.holds_claim(request, 3));
    }
    SUBCASE("a trial of a host that claims none")
    {
        parts.begin_trial(request, 7, start + 10ms);
        CHECK_FALSE(parts.holds_claim(request, 3));
    }
}
