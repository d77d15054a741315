#include "routing/poison_parts.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <numeric>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;
using routing::part_judgement;
using routing::poison_parts;

namespace {

model::time_point const start{std::chrono::hours(1)};
constexpr std::uint64_t service = 1;
constexpr std::uint64_t version = 10;
constexpr std::uint64_t other_version = 11;

/// Time from a request to the crash that it causes.
constexpr model::milliseconds time_to_crash{150};

poison_parts::parts parts_of(std::vector<std::uint64_t> const& ids)
{
    poison_parts::parts list;
    for (std::uint64_t const id : ids) {
        list.push_back({service, id});
    }
    return list;
}

/// A crash at `at` of requests that were sent 150 ms before.
routing::upstream_crash crash_of(std::uint64_t engine,
                                 model::time_point at,
                                 std::vector<std::uint64_t> const& ids,
                                 std::uint64_t of_version = version)
{
    routing::upstream_crash crash{engine, service, of_version, at, {}};
    for (std::uint64_t const id : ids) {
        crash.candidates.push_back({id, at - time_to_crash, false, true});
    }
    return crash;
}

/// Crashes of engines `first` and on, a second apart, at these parts.
void crash_times(poison_parts& parts,
                 std::uint64_t first,
                 int count,
                 model::time_point from,
                 std::vector<std::uint64_t> const& ids)
{
    for (int number = 0; number < count; ++number) {
        parts.record_crash(crash_of(first + static_cast<std::uint64_t>(number),
                                    from + number * 1s,
                                    ids));
    }
}

/// The whole of a request.
routing::shared_part whole(std::uint64_t id)
{
    return {service, id, routing::part_kind::request};
}

/// A crash at `at` with whole requests in flight, sent 150 ms before.
routing::upstream_crash crash_of_requests(std::uint64_t engine,
                                          model::time_point at,
                                          std::vector<std::uint64_t> const& ids)
{
    auto crash = crash_of(engine, at, ids);
    for (routing::crash_candidate& candidate : crash.candidates) {
        candidate.kind = routing::part_kind::request;
        candidate.has_begun = false;
    }
    return crash;
}

part_judgement
judge_whole(poison_parts const& parts, std::uint64_t id, model::time_point now)
{
    return parts.judge({whole(id)}, version, true, now);
}

part_judgement judge(poison_parts const& parts,
                     std::vector<std::uint64_t> const& ids,
                     model::time_point now,
                     std::uint64_t at = version)
{
    return parts.judge(parts_of(ids), at, false, now);
}

} // namespace

TEST_CASE("a part is on trial after one crash and kept back after three")
{
    poison_parts parts;
    CHECK(judge(parts, {5, 6}, start) == part_judgement::free);
    crash_times(parts, 1, 1, start, {5});
    CHECK(judge(parts, {5, 6}, start + 1s) == part_judgement::trial);
    CHECK(judge(parts, {6}, start + 1s) == part_judgement::free);
    crash_times(parts, 2, 1, start + 1s, {5});
    CHECK(judge(parts, {5, 6}, start + 2s) == part_judgement::trial);
    crash_times(parts, 3, 1, start + 2s, {5});
    CHECK(judge(parts, {5, 6}, start + 3s) == part_judgement::kept_back);
    CHECK(judge(parts, {6}, start + 3s) == part_judgement::free);
}

// Guards against one crash that counts once for each host that has seen it.
TEST_CASE("a crash counts once, whichever hosts saw it and how often")
{
    poison_parts parts;
    for (int times = 0; times < 5; ++times) {
        parts.record_crash(crash_of(1, start + times * 60ms, {5}));
    }
    CHECK(judge(parts, {5}, start + 1s) == part_judgement::trial);
}

// Guards against a zone that is lost, and takes many engines in one moment.
TEST_CASE("crashes at requests that were sent before the last one are one")
{
    poison_parts parts;
    for (std::uint64_t engine = 1; engine < 20; ++engine) {
        parts.record_crash(
            crash_of(engine, start + engine * 5ms, {5, engine + 100}));
    }
    CHECK(judge(parts, {5}, start + 1s) == part_judgement::trial);
    CHECK(parts.verdicts().empty());
}

// Guards against repeats that go to engines which are down already, when a
// share of all engines fails at once.
TEST_CASE("requests that no engine has begun count some time later only")
{
    poison_parts parts;
    for (std::uint64_t engine = 1; engine <= 5; ++engine) {
        auto crash = crash_of(engine, start + engine * 20ms, {5});
        crash.candidates[0].sent_at = crash.at - 5ms;
        crash.candidates[0].has_begun = false;
        parts.record_crash(crash);
    }
    CHECK(judge(parts, {5}, start + 1s) == part_judgement::trial);
    CHECK(parts.verdicts().empty());
}

// Guards against victims of requests that are on their way when the first
// crash is known.
TEST_CASE("crashes of requests that overlap count beside two in sequence")
{
    poison_parts parts;
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        parts.record_crash(crash_of(engine, start + engine * 30ms, {5}));
    }
    CHECK(judge(parts, {5}, start + 200ms) == part_judgement::trial);
    parts.record_crash(crash_of(4, start + 500ms, {5}));
    CHECK(judge(parts, {5}, start + 600ms) == part_judgement::kept_back);
}

TEST_CASE("an answer that began after a crash clears the parts in it")
{
    poison_parts parts;
    crash_times(parts, 1, 2, start, {5, 6});
    CHECK(parts.record_answer(parts_of({5}), version, start + 500ms).size()
          == 1);
    crash_times(parts, 3, 1, start + 2s, {5, 6});
    CHECK(judge(parts, {5}, start + 3s) != part_judgement::kept_back);
    CHECK(judge(parts, {6}, start + 3s) == part_judgement::kept_back);
}

// Guards against hosts that accuse a part which another one has seen answered.
TEST_CASE("an answer at another host speaks for a part as well")
{
    poison_parts parts;
    crash_times(parts, 1, 2, start, {5});
    parts.record_answer({{service, 5}, version, start + 1'500ms});
    crash_times(parts, 3, 2, start + 2s, {5});
    CHECK(judge(parts, {5}, start + 4s) != part_judgement::kept_back);
}

TEST_CASE("an answer that began before a crash only asks for more evidence")
{
    poison_parts parts;
    crash_times(parts, 1, 3, start, {5});
    CHECK(judge(parts, {5}, start + 4s) == part_judgement::kept_back);

    poison_parts seen;
    seen.record_answer(parts_of({5}), version, start - 1s);
    crash_times(seen, 1, 3, start, {5});
    CHECK(judge(seen, {5}, start + 4s) == part_judgement::free);
    crash_times(seen, 4, 1, start + 3s, {5});
    CHECK(judge(seen, {5}, start + 4s) == part_judgement::trial);
    crash_times(seen, 5, 1, start + 4s, {5});
    CHECK(judge(seen, {5}, start + 5s) == part_judgement::kept_back);
}

// Guards against sound parts that are accused with the guilty one beside them.
TEST_CASE("crashes that a verdict explains count against no other part")
{
    poison_parts parts;
    crash_times(parts, 1, 1, start, {5});
    crash_times(parts, 2, 2, start + 1s, {5, 7});
    CHECK(judge(parts, {5}, start + 3s) == part_judgement::kept_back);
    crash_times(parts, 4, 5, start + 3s, {5, 7});
    CHECK(judge(parts, {7}, start + 9s) == part_judgement::free);
}

TEST_CASE("parts that were always together are kept back together only")
{
    poison_parts parts;
    crash_times(parts, 1, 3, start, {5, 6});
    CHECK(judge(parts, {5, 6, 9}, start + 3s) == part_judgement::kept_back);
    CHECK(judge(parts, {5, 9}, start + 3s) == part_judgement::trial);
    CHECK(judge(parts, {6, 9}, start + 3s) == part_judgement::trial);

    SUBCASE("one of them is answered")
    {
        parts.record_answer(parts_of({5, 9}), version, start + 4s);
        CHECK(judge(parts, {5, 9}, start + 5s) == part_judgement::free);
        CHECK(judge(parts, {6}, start + 5s) == part_judgement::kept_back);
    }
    SUBCASE("one of them crashes engines alone")
    {
        crash_times(parts, 4, 2, start + 4s, {6});
        CHECK(judge(parts, {6}, start + 7s) == part_judgement::kept_back);
        CHECK(judge(parts, {5, 9}, start + 7s) != part_judgement::kept_back);
    }
}

TEST_CASE("a verdict holds for the versions that crashed")
{
    poison_parts parts;
    crash_times(parts, 1, 3, start, {5});
    CHECK(judge(parts, {5}, start + 3s, other_version)
          == part_judgement::trial);
    SUBCASE("the other one answers")
    {
        parts.record_answer(parts_of({5}), other_version, start + 4s);
        CHECK(judge(parts, {5}, start + 5s, other_version)
              == part_judgement::free);
    }
    SUBCASE("the other one crashes as well")
    {
        parts.record_crash(crash_of(4, start + 4s, {5}, other_version));
        CHECK(judge(parts, {5}, start + 5s, other_version)
              == part_judgement::kept_back);
    }
    CHECK(judge(parts, {5}, start + 5s) == part_judgement::kept_back);
}

TEST_CASE("one request at a time runs as a trial")
{
    poison_parts parts;
    crash_times(parts, 1, 2, start, {5});
    auto const now = start + 2s;
    parts.begin_trial(parts_of({5}), 7, now);
    CHECK(parts.has_trial_at(7, now));
    CHECK_FALSE(parts.has_trial_at(8, now));
    CHECK(judge(parts, {5}, now) == part_judgement::awaits_trial);
    CHECK(judge(parts, {6}, now) == part_judgement::free);
    SUBCASE("until it is over")
    {
        parts.end_trial(parts_of({5}));
    }
    SUBCASE("until its host has been silent for some time")
    {
        CHECK(judge(parts, {5}, now + 900ms) == part_judgement::awaits_trial);
        CHECK(judge(parts, {5}, now + 1s) == part_judgement::trial);
        return;
    }
    CHECK(judge(parts, {5}, now) == part_judgement::trial);
}

// Guards against our own repeats, each of which takes one more engine.
TEST_CASE("a repeat is a trial for parts that were never answered")
{
    poison_parts parts;
    parts.record_answer(parts_of({6}), version, start - 1s);
    CHECK(parts.judge(parts_of({5, 6}), version, true, start)
          == part_judgement::trial);
    CHECK(parts.judge(parts_of({6}), version, true, start)
          == part_judgement::free);
    CHECK(parts.suspects_among(parts_of({5, 6}), version, true)
          == parts_of({5}));
}

// Guards against a trial that crashes its engine and leaves the next repeat
// free to go out beside another one.
TEST_CASE("a crash ends only trials that were sent before it")
{
    poison_parts parts;
    parts.begin_trial(parts_of({5}), 7, start + 10ms);
    parts.record_crash(crash_of(1, start, {5}));
    CHECK(parts.judge(parts_of({5}), version, true, start + 20ms)
          == part_judgement::awaits_trial);
}

// Guards against a request that takes engine after engine, and against delays
// for those that were beside it once.
TEST_CASE("a request is free after one crash and kept back after three")
{
    poison_parts parts;
    parts.record_crash(crash_of_requests(1, start, {5, 6, 7}));
    CHECK(judge_whole(parts, 5, start + 1s) == part_judgement::free);
    parts.record_crash(crash_of_requests(2, start + 1s, {5, 6}));
    CHECK(judge_whole(parts, 5, start + 2s) == part_judgement::trial);
    CHECK(judge_whole(parts, 7, start + 2s) == part_judgement::free);
    parts.record_answer({whole(6)}, version, start + 2s);
    parts.record_crash(crash_of_requests(3, start + 3s, {5, 6}));
    CHECK(judge_whole(parts, 5, start + 4s) == part_judgement::kept_back);
    CHECK(judge_whole(parts, 6, start + 4s) == part_judgement::free);
    CHECK(judge(parts, {5}, start + 4s) == part_judgement::free);
    parts.expire(start + 15min);
    CHECK(judge_whole(parts, 5, start + 15min) == part_judgement::free);
}

// Guards against a request that gets through because another one was in flight
// at the same crashes: no request is both.
TEST_CASE("of two requests at the same crashes one more tells which it is")
{
    poison_parts parts;
    for (std::uint64_t engine = 1; engine <= 3; ++engine) {
        parts.record_crash(
            crash_of_requests(engine, start + engine * 1s, {5, 6}));
    }
    CHECK(judge_whole(parts, 5, start + 4s) == part_judgement::trial);
    CHECK(judge_whole(parts, 6, start + 4s) == part_judgement::trial);
    SUBCASE("it crashes an engine alone")
    {
        parts.record_crash(crash_of_requests(4, start + 5s, {5}));
    }
    SUBCASE("the other one is answered")
    {
        parts.record_answer({whole(6)}, version, start + 5s);
    }
    CHECK(judge_whole(parts, 5, start + 6s) == part_judgement::kept_back);
    CHECK(judge_whole(parts, 6, start + 6s) != part_judgement::kept_back);
}

// Guards against a sound request that is refused by a host that hears last of
// the one that crashes engines, at the same crashes.
TEST_CASE("a request beside another at all earlier crashes is not the cause")
{
    poison_parts parts;
    parts.record_crash(crash_of_requests(1, start, {5, 6}));
    parts.record_crash(crash_of_requests(2, start + 200ms, {5, 6}));
    // What the host of request 5 tells of the third crash comes later.
    parts.record_crash(crash_of_requests(3, start + 400ms, {6}));
    CHECK(judge_whole(parts, 6, start + 500ms) == part_judgement::trial);
    parts.record_crash(crash_of_requests(3, start + 400ms, {5}));
    CHECK(judge_whole(parts, 6, start + 500ms) == part_judgement::trial);
    // It was sent before the verdict, and told of one by one.
    parts.record_crash(crash_of_requests(4, start + 410ms, {6}));
    parts.record_crash(crash_of_requests(4, start + 410ms, {5}));
    CHECK(judge_whole(parts, 6, start + 500ms) == part_judgement::trial);
    SUBCASE("it is answered")
    {
        parts.record_answer({whole(6)}, version, start + 600ms);
    }
    SUBCASE("the other one crashes an engine")
    {
        parts.record_crash(crash_of_requests(5, start + 1s, {5}));
    }
    CHECK(judge_whole(parts, 5, start + 2s) == part_judgement::kept_back);
    CHECK(judge_whole(parts, 6, start + 2s) != part_judgement::kept_back);
}

// Guards against evidence that is crowded out by requests beside crashes of
// other causes.
TEST_CASE("a request at two crashes is remembered among many at one each")
{
    poison_parts parts;
    parts.record_crash(crash_of_requests(1, start, {5}));
    parts.record_crash(crash_of_requests(2, start + 1s, {5}));
    std::uint64_t id = 100;
    for (std::uint64_t engine = 3; engine < 90; ++engine) {
        std::vector<std::uint64_t> in_flight(128);
        std::iota(in_flight.begin(), in_flight.end(), id);
        id += in_flight.size();
        auto const at = start + 2s + engine * 10ms;
        parts.record_crash(crash_of_requests(engine, at, in_flight));
    }
    CHECK(parts.size() <= 4'096 + 512);
    CHECK(judge_whole(parts, 5, start + 4s) == part_judgement::trial);
    // It may have been there by chance once more.
    parts.record_crash(crash_of_requests(98, start + 5s, {5}));
    CHECK(judge_whole(parts, 5, start + 6s) == part_judgement::trial);
    parts.record_crash(crash_of_requests(99, start + 6s, {5}));
    CHECK(judge_whole(parts, 5, start + 7s) == part_judgement::kept_back);
}

TEST_CASE("a part stays kept back while requests with it come")
{
    poison_parts parts;
    crash_times(parts, 1, 3, start, {5});
    auto const last = start + 2s;
    for (int minute = 1; minute < 10; ++minute) {
        auto const now = last + minute * 1min;
        parts.expire(now);
        CHECK(judge(parts, {5}, now) == part_judgement::kept_back);
        parts.record_kept_back(parts_of({5, 9}), now);
    }
    // One probe, and the next one after twice the time.
    auto const probed = last + 10min + 1s;
    CHECK(judge(parts, {5}, probed) == part_judgement::trial);
    parts.record_crash(crash_of(4, probed, {5}));
    CHECK(judge(parts, {5}, probed + 19min) == part_judgement::kept_back);
    CHECK(judge(parts, {5}, probed + 21min) == part_judgement::trial);
}

TEST_CASE("a part that no request has is forgotten, and so is old evidence")
{
    poison_parts parts;
    int released = 0;
    parts.on_released = [&released](routing::part_verdict const&) {
        ++released;
    };
    crash_times(parts, 1, 3, start, {5});
    crash_times(parts, 4, 1, start, {6});
    parts.expire(start + 11min);
    CHECK(released == 1);
    CHECK_FALSE(parts.has_evidence());
    CHECK(parts.size() == 0);
}

TEST_CASE("verdicts spread, the narrower one wins, and answers refute them")
{
    poison_parts told;
    told.merge({parts_of({5, 6}), {version}, start, start, 0});
    CHECK(judge(told, {5, 6}, start + 1s) == part_judgement::kept_back);
    told.merge({parts_of({5}), {version}, start, start, 0});
    CHECK(judge(told, {5}, start + 1s) == part_judgement::kept_back);
    CHECK(judge(told, {6}, start + 1s) == part_judgement::free);
    told.merge({parts_of({5, 6}), {version}, start, start, 0});
    CHECK(told.verdicts().size() == 1);

    told.record_answer({{service, 5}, version, start + 1s});
    CHECK(told.verdicts().empty());
    auto const answers =
        told.merge({parts_of({5}), {version}, start, start, 0});
    CHECK(answers.size() == 1);
    CHECK(told.verdicts().empty());
}

// Guards against a sound part that is kept back because its host heard of the
// guilty one beside it a moment later.
TEST_CASE("two causes of the same crashes are kept back together only")
{
    poison_parts parts;
    crash_times(parts, 1, 1, start, {5});
    crash_times(parts, 2, 2, start + 1s, {5});
    crash_times(parts, 2, 2, start + 1s, {6});
    REQUIRE(judge(parts, {5}, start + 3s) == part_judgement::kept_back);
    parts.merge({parts_of({6}), {version}, start + 2s, start + 2s});
    CHECK(judge(parts, {5, 6}, start + 3s) == part_judgement::kept_back);
    CHECK(judge(parts, {5}, start + 3s) == part_judgement::trial);
    CHECK(judge(parts, {6}, start + 3s) == part_judgement::trial);
    parts.record_answer(parts_of({5}), version, start + 4s);
    CHECK(judge(parts, {5}, start + 5s) == part_judgement::free);
    CHECK(judge(parts, {6}, start + 5s) == part_judgement::kept_back);
}

TEST_CASE("a later verdict ends one that rests on crashes which it explains")
{
    poison_parts parts;
    crash_times(parts, 1, 1, start, {5});
    crash_times(parts, 2, 2, start + 1s, {5, 6});
    REQUIRE(judge(parts, {5}, start + 3s) == part_judgement::kept_back);
    crash_times(parts, 4, 3, start + 4s, {6});
    CHECK(judge(parts, {6}, start + 7s) == part_judgement::kept_back);
    CHECK(judge(parts, {5}, start + 7s) != part_judgement::kept_back);
}

// Guards against a part that is tried again because its evidence is old.
TEST_CASE("a verdict outlives its evidence beside a later one")
{
    poison_parts parts;
    crash_times(parts, 1, 3, start, {5});
    auto const later = start + 15min;
    parts.record_kept_back(parts_of({5}), start + 9min);
    parts.expire(later);
    parts.record_crash(crash_of(4, later, {5}));
    crash_times(parts, 5, 3, later + 1s, {6});
    CHECK(judge(parts, {6}, later + 5s) == part_judgement::kept_back);
    CHECK(judge(parts, {5}, later + 5s) == part_judgement::kept_back);
}

TEST_CASE("what is kept of parts is bounded")
{
    poison_parts parts;
    for (std::uint64_t engine = 1; engine <= 2'000; ++engine) {
        std::vector<std::uint64_t> ids;
        for (std::uint64_t id = 0; id < 20; ++id) {
            ids.push_back(engine * 20 + id);
        }
        parts.record_crash(crash_of(engine, start + engine * 100ms, ids));
        parts.record_answer(parts_of(ids), version, start);
    }
    CHECK(parts.size() <= 4'096 + 512);
}

TEST_CASE("shared parts of a prompt are sorted, once each, without the last")
{
    routing::prompt prompt;
    CHECK(routing::shared_parts_of(prompt, service).empty());
    prompt.parts = {{7, 1}};
    CHECK(routing::shared_parts_of(prompt, service).empty());
    prompt.parts = {{7, 1}, {3, 5}, {7, 9}, {0, 2}, {4, 1}};
    CHECK(routing::shared_parts_of(prompt, service) == parts_of({3, 7}));
}

// Guards against requests that stay refused because a host lost its links.
TEST_CASE("a verdict ends with the refutation of a crash that it rests on")
{
    poison_parts parts;
    crash_times(parts, 1, 3, start, {7});
    REQUIRE(parts.verdicts().size() == 1);
    parts.refute({9, start + 2s});
    CHECK(parts.verdicts().size() == 1);
    parts.refute({3, start + 2s});
    CHECK(parts.verdicts().empty());
    CHECK(parts.crashes_of(parts_of({7}).front()) == 2);
}
