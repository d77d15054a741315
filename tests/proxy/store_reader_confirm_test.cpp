#include "proxy/store_reader_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

std::string const refused = json("{}", 429);

/// Bounds of the moment at which a list's first page was requested.
struct first_request
{
    model::time_point earliest;
    model::time_point latest;
};

/// Runs until the second page of the list whose first one is the `number`th
/// request has been requested.
first_request run_to_second_page(reader_fixture& fixture, std::size_t number)
{
    first_request asked{fixture.created_at, {}};
    if (number > 1) {
        // It is requested once the request before it has been answered.
        REQUIRE(fixture.run_until_requested(number - 1));
        asked.earliest = fixture.loop.now();
    }
    REQUIRE(fixture.run_until_requested(number + 1));
    asked.latest = fixture.loop.now();
    return asked;
}

/// Plays `before`, then a list between whose pages the store turns calls away,
/// and checks as of when that list is confirmed.
void check_confirmation(std::deque<std::string> before,
                        std::deque<std::string> const& list)
{
    std::size_t const first_page = before.size() + 1;
    before.insert(before.end(), list.begin(), list.end());
    std::size_t const all = before.size();
    reader_fixture fixture(std::move(before));
    auto const asked = run_to_second_page(fixture, first_page);
    CHECK(is_complete_read(fixture.targets[first_page - 1]));
    REQUIRE(fixture.run_until_requested(all + 1));
    CHECK(fixture.events.back().find("all ") == 0);
    CHECK(fixture.confirmed <= asked.latest);
    // No earlier than that either, or sound keys would be refused.
    CHECK(fixture.confirmed >= asked.earliest);
}

/// A store of six pages in which an item changes with each call, and that keeps
/// its history for `history` revisions.
std::string answer_of_short_history(std::string const& target,
                                    std::uint64_t& revision,
                                    std::uint64_t history)
{
    constexpr int pages = 6;
    ++revision;
    if (target.find("/kv-watch") == std::string::npos) {
        std::string const last =
            is_complete_read(target) ? "0" : target.substr(target.size() - 1);
        int const number = std::stoi(last) + 1;
        return page(
            std::to_string(number), static_cast<int>(revision), number < pages);
    }
    auto const after = std::stoull(target.substr(target.find("after=") + 6));
    if (after + history < revision) {
        return json("{}", 410);
    }
    std::string events;
    for (std::uint64_t at = after + 1; at <= revision; ++at) {
        events += fmt::format(R"({}{{"key":"1","value":"","revision":{}}})",
                              events.empty() ? "" : ",",
                              at);
    }
    return json(fmt::format(
        R"({{"events":[{}],"store_revision":{}}})", events, revision));
}

} // namespace

// Guards against keys that are used after their revocation: the store turned
// calls away between the page with the configuration and the last one.
TEST_CASE("a list of several pages is confirmed as of its first page")
{
    std::deque<std::string> const list{page("a", 9, true),
                                       refused,
                                       refused,
                                       page("b", 13, true),
                                       refused,
                                       page("c", 13, false)};
    SUBCASE("at the start")
    {
        check_confirmation({}, list);
    }
    SUBCASE("after the history has passed")
    {
        check_confirmation({json(one_item), json("{}", 410)}, list);
    }
    SUBCASE("after a gap")
    {
        check_confirmation(
            {json(one_item), json(R"({"events":[],"store_revision":12})")},
            list);
    }
    SUBCASE("after the store has gone back")
    {
        check_confirmation({page("a", 30, false), change("x", 6)}, list);
    }
}

// Guards against the same where another store begins to answer.
TEST_CASE("a list of a new era is confirmed as of its first page")
{
    check_confirmation(
        {of_era("1", page("a", 9, false)), of_era("2", change("x", 10))},
        {of_era("2", page("a", 5, true)),
         of_era("2", refused),
         of_era("2", refused),
         of_era("2", page("b", 6, false))});
}

// Guards against sound keys that are refused for longer than needed after a
// long list: its confirmation is as old as its first page.
TEST_CASE("a list that took long is followed by an immediate watch")
{
    reader_fixture fixture({page("a", 9, true),
                            refused,
                            refused,
                            refused,
                            page("b", 9, false),
                            json(no_events),
                            json(no_events)});
    REQUIRE(fixture.run_until_requested(5));
    auto const last_page_at = fixture.loop.now();
    REQUIRE(fixture.run_until_requested(7));
    std::string const immediate = "/kv-watch?prefix=&after=9&wait_ms=1";
    CHECK(fixture.targets[5] == immediate);
    CHECK(*fixture.confirmed >= last_page_at);
    CHECK(fixture.targets[6] != immediate);
}

TEST_CASE("what was read of a long list follows changes before it is complete")
{
    reader_fixture fixture(
        {page("a", 9, true),
         page("b", 9, true),
         json(R"({"events":[{"key":"aa","value":"","revision":10},)"
              R"({"key":"a","revision":11,"tombstone":true}],)"
              R"("store_revision":11})"),
         page("c", 12, false)});
    fixture.time_per_answer = 3s;
    REQUIRE(fixture.run_until_requested(2));
    auto const earliest = fixture.now();
    REQUIRE(fixture.run_until_requested(3));
    auto const latest = fixture.now() - fixture.time_per_answer;
    REQUIRE(fixture.run_until_requested(5));
    CHECK(fixture.targets[2] == "/kv-watch?prefix=&after=9&wait_ms=1");
    CHECK(fixture.targets[3] == "/kv-range?prefix=&after=b");
    CHECK(fixture.events
          == std::vector<std::string>{"+a", "+b", "+aa", "-a", "+c", "all 3"});
    CHECK(fixture.targets[4].find("after=11&") != std::string::npos);
    CHECK(fixture.revision == 11);
    CHECK(*fixture.confirmed <= latest);
    CHECK(*fixture.confirmed >= earliest);
}

// Guards against a list that never becomes complete because the store refuses
// or has lost what it is to be brought up to date with.
TEST_CASE("a long list goes on without changes that can't be had")
{
    std::string const gap = json(R"({"events":[],"store_revision":12})");
    for (std::string const& answer : {json("{}", 410), gap}) {
        CAPTURE(answer);
        reader_fixture fixture({page("a", 9, true),
                                page("b", 9, true),
                                answer,
                                page("c", 12, true),
                                page("d", 12, false)});
        fixture.time_per_answer = 3s;
        REQUIRE(fixture.run_until_requested(6));
        CHECK(fixture.targets[4] == "/kv-range?prefix=&after=c");
        CHECK(fixture.targets[5].find("after=9&") != std::string::npos);
        CHECK(fixture.revision == 9);
        CHECK(*fixture.confirmed <= fixture.now() - 15s);
    }
    reader_fixture fixture({page("a", 9, true),
                            page("b", 9, true),
                            refused,
                            page("c", 9, true),
                            refused,
                            page("d", 9, false)});
    fixture.time_per_answer = 3s;
    REQUIRE(fixture.run_until_requested(6));
    CHECK(fixture.targets[3] == "/kv-range?prefix=&after=b");
    CHECK(fixture.targets[5] == "/kv-range?prefix=&after=c");
}

// Guards against a host that refuses all keys for good: the store takes longer
// for its list than it keeps its history, and each confirmation is out of date.
TEST_CASE("a list that takes longer than the history lasts gets confirmed")
{
    constexpr std::uint64_t history = 4;
    reader_fixture fixture({});
    std::uint64_t revision = 100;
    fixture.answer_to = [&revision](std::string const& target) {
        return answer_of_short_history(target, revision, history);
    };
    fixture.time_per_answer = 3s;
    REQUIRE(fixture.run_until_requested(16));
    CHECK(std::count_if(
              fixture.targets.begin(), fixture.targets.end(), is_complete_read)
          == 1);
    REQUIRE(fixture.confirmed);
    CHECK(fixture.now() - *fixture.confirmed
          <= 2 * fixture.time_per_answer + 1s);
}

// A clock that is stepped ahead must not make a watch look as if it had waited:
// a store that answered at once would be believed for the time until then.
TEST_CASE("a watch confirms no wait that only one clock shows")
{
    reader_fixture fixture({json(one_item)});
    fixture.answer_to = [](std::string const&) {
        return json(no_events);
    };
    fixture.time_per_answer = 3s;
    for (std::size_t watch = 1; watch <= 3; ++watch) {
        REQUIRE(fixture.run_until_requested(watch + 2));
        // Two steps have come since that watch was sent.
        CHECK(*fixture.confirmed
              <= fixture.now() - 2 * fixture.time_per_answer);
    }
}
