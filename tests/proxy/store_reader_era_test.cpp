#include "proxy/store_reader_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

// The store has given out more revisions than the reader has: its watch gets no
// 410, and the changes up to its revision would be missed.
TEST_CASE("a new era is read completely though the watch is answered")
{
    reader_fixture fixture({of_era("1", page("a", 9, false)),
                            of_era("2", change("x", 10)),
                            of_era("2", page("b", 10, false))});
    REQUIRE(fixture.run_until_requested(4));
    CHECK(fixture.eras == std::vector<std::uint64_t>{1, 2});
    CHECK(is_complete_read(fixture.targets[2]));
    CHECK(fixture.events
          == std::vector<std::string>{"+a", "all 1", "+b", "all 1"});
    CHECK(fixture.targets[3].find("after=10&") != std::string::npos);
}

TEST_CASE("a new era after a 410 is read once")
{
    reader_fixture fixture({of_era("1", page("a", 9, false)),
                            of_era("2", json("{}", 410)),
                            of_era("2", page("b", 5, false)),
                            of_era("2", change("x", 6))});
    REQUIRE(fixture.run_until_requested(5));
    CHECK(is_complete_read(fixture.targets[2]));
    CHECK(fixture.targets[3].find("after=5&") != std::string::npos);
    CHECK(fixture.revision == 6);
}

TEST_CASE("a read of many pages begins again in a new era, twice")
{
    reader_fixture fixture({of_era("1", page("a", 9, true)),
                            of_era("2", page("b", 5, false)),
                            of_era("2", page("a", 5, true)),
                            of_era("3", page("b", 3, false)),
                            of_era("3", page("a", 3, false))});
    REQUIRE(fixture.run_until_requested(6));
    CHECK(fixture.eras == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(is_complete_read(fixture.targets[2]));
    CHECK(is_complete_read(fixture.targets[4]));
    CHECK(fixture.events
          == std::vector<std::string>{"+a", "+a", "+a", "all 1"});
    CHECK(fixture.targets[5].find("after=3&") != std::string::npos);
}

// Two stores behind one address, or headers that something in between spoils.
TEST_CASE("an era that is missing or unreadable is reported once and ignored")
{
    reader_fixture fixture({of_era("1", page("a", 9, false)),
                            change("x", 10),
                            of_era("two", change("y", 11)),
                            of_era("1", change("z", 12)),
                            of_era("-1", change("w", 13))});
    REQUIRE(fixture.run_until_requested(6));
    CHECK(fixture.events
          == std::vector<std::string>{"+a", "all 1", "+x", "+y", "+z", "+w"});
    CHECK(fixture.era_faults
          == std::vector<std::string>{"missing ", "unreadable -1"});
    CHECK(fixture.eras == std::vector<std::uint64_t>{1});
}

TEST_CASE("an answer of an older era is a failure, and nothing is lost")
{
    reader_fixture fixture({of_era("2", page("a", 9, false)),
                            of_era("1", change("x", 10)),
                            of_era("1", json("{}", 410)),
                            of_era("2", change("y", 10))});
    REQUIRE(fixture.run_until_requested(5));
    CHECK(fixture.events
          == std::vector<std::string>{
              "+a", "all 1", "lost older_era", "regained", "+y"});
    CHECK(fixture.era_faults == std::vector<std::string>{"older 1"});
}

// If each of 300 hosts read the whole store at its return, it would refuse most
// of them for seconds.
TEST_CASE("an idle reader waits for its peers before it reads a new era")
{
    reader_fixture fixture({of_era("1", page("a", 9, false)),
                            of_era("2", json("{}", 410)),
                            of_era("2", page("b", 5, false))});
    fixture.reader.set_watching(false);
    REQUIRE(fixture.run_until_requested(1));
    fixture.run_for(50ms);
    fixture.reader.poll_once();
    fixture.run_for(900ms);
    REQUIRE(fixture.targets.size() == 2);
    SUBCASE("they have read it")
    {
        fixture.reader.skip_to({5, 2});
        fixture.run_for(1'500ms);
        CHECK(fixture.targets.size() == 2);
        fixture.reader.poll_once();
        REQUIRE(fixture.run_until_requested(3));
        CHECK(fixture.targets[2].find("after=5&") != std::string::npos);
    }
    SUBCASE("they have not")
    {
        fixture.reader.skip_to({20, 1});
        fixture.reader.poll_once();
        fixture.run_for(1'300ms);
        REQUIRE(fixture.targets.size() == 3);
        CHECK(is_complete_read(fixture.targets[2]));
    }
    SUBCASE("it is to watch for them")
    {
        fixture.reader.set_watching(true);
        REQUIRE(fixture.run_until_requested(3));
        CHECK(is_complete_read(fixture.targets[2]));
    }
}

// Guards against the same where the store names no era: its revisions alone
// tell that it has gone back.
TEST_CASE("a store without eras that goes back begins one")
{
    SUBCASE("after a 410")
    {
        reader_fixture fixture({page("a", 9, false),
                                json("{}", 410),
                                page("b", 5, false),
                                change("x", 6)});
        REQUIRE(fixture.run_until_requested(5));
        CHECK(fixture.eras == std::vector<std::uint64_t>{1});
        CHECK(fixture.targets[3].find("after=5&") != std::string::npos);
        CHECK(fixture.revision == 6);
    }
    SUBCASE("by the answer of a watch")
    {
        reader_fixture fixture(
            {page("a", 9, false), change("x", 6), page("b", 6, false)});
        REQUIRE(fixture.run_until_requested(4));
        CHECK(fixture.eras == std::vector<std::uint64_t>{1});
        CHECK(fixture.events
              == std::vector<std::string>{"+a", "all 1", "+b", "all 1"});
    }
    SUBCASE("as peers have noticed")
    {
        reader_fixture fixture({page("a", 9, false)});
        REQUIRE(fixture.run_until_requested(2));
        fixture.answers.push_back(page("b", 5, false));
        fixture.answers.push_back(change("x", 6));
        fixture.reader.adopt_era(1);
        fixture.reader.adopt_era(1);
        REQUIRE(fixture.run_until_requested(5));
        CHECK(is_complete_read(fixture.targets[2]));
        CHECK(fixture.targets[3].find("after=5&") != std::string::npos);
        CHECK(fixture.eras.empty());
    }
}

TEST_CASE("a store that names eras is not taken to have gone back")
{
    reader_fixture fixture({of_era("3", page("a", 9, false)),
                            of_era("3", json("{}", 410)),
                            of_era("3", page("b", 5, false))});
    REQUIRE(fixture.run_until_requested(4));
    fixture.reader.adopt_era(7);
    CHECK(fixture.eras == std::vector<std::uint64_t>{3});
    CHECK(fixture.targets.size() == 4);
}

// Guards against leaves that no host hears of: a watch heard nothing while they
// were written, and was answered as if nothing had been.
TEST_CASE("a watch that skips revisions makes the reader read again")
{
    reader_fixture fixture({page("a", 9, false),
                            json(R"({"events":[],"store_revision":12})"),
                            page("b", 12, false),
                            change("x", 15),
                            change("y", 16)});
    REQUIRE(fixture.run_until_requested(6));
    CHECK(is_complete_read(fixture.targets[2]));
    // After the second such answer in a row it waits before it reads again,
    // and continues from where nothing was missing.
    CHECK(fixture.targets[4].find("after=12&") != std::string::npos);
    CHECK(fixture.revision == 12);
    CHECK(
        fixture.events
        == std::vector<std::string>{"+a", "all 1", "+b", "all 1", "+x", "+y"});
}

// Guards against a revocation in the second of two gaps: keys were confirmed as
// of a watch that had skipped it, and it was never read.
TEST_CASE("a second gap confirms nothing until the store has been read again")
{
    reader_fixture fixture({page("a", 9, false),
                            json(R"({"events":[],"store_revision":12})"),
                            page("b", 12, false)});
    fixture.answer_to = [](std::string const& target) {
        return is_complete_read(target) ? page("c", 15, false)
                                        : change("x", 15);
    };
    REQUIRE(fixture.run_until_requested(4));
    auto const confirmed_as_of = fixture.confirmed;
    auto const begin = fixture.loop.now();
    while (fixture.events.back() != "all 1" || fixture.events.size() < 5) {
        REQUIRE(fixture.loop.now() < begin + 2'500ms);
        CHECK(fixture.revision == 12);
        CHECK(fixture.confirmed == confirmed_as_of);
        fixture.loop.run_once();
    }
    CHECK(fixture.revision == 15);
    CHECK(fixture.confirmed > confirmed_as_of);
}
