#include "proxy/store_reader_fixture.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

std::string const refused = json("{}", 429);

/// Plays `before`, then a list of two pages between which the store turns calls
/// away, and checks as of when that list is confirmed.
void check_confirmation(std::deque<std::string> before,
                        std::deque<std::string> const& list)
{
    std::size_t const first_page = before.size() + 1;
    before.insert(before.end(), list.begin(), list.end());
    std::size_t const all = before.size();
    reader_fixture fixture(std::move(before));
    REQUIRE(fixture.run_until_requested(first_page));
    REQUIRE(is_complete_read(fixture.targets[first_page - 1]));
    auto const earliest = fixture.loop.now() - 20ms;
    REQUIRE(fixture.run_until_requested(first_page + 1));
    auto const latest = fixture.loop.now();
    REQUIRE(fixture.run_until_requested(all + 1));
    REQUIRE(fixture.events.back().find("all ") == 0);
    REQUIRE(fixture.confirmed);
    CHECK(*fixture.confirmed <= latest);
    // No earlier than that either, or sound keys would be refused.
    CHECK(*fixture.confirmed >= earliest);
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
    REQUIRE(fixture.run_until_requested(7));
    std::string const immediate = "/kv-watch?prefix=&after=9&wait_ms=1";
    CHECK(fixture.targets[5] == immediate);
    CHECK(*fixture.confirmed >= fixture.loop.now() - 50ms);
    CHECK(fixture.targets[6] != immediate);
}
