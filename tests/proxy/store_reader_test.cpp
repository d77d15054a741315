#include "proxy/store_reader_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace caperjunction::test;

TEST_CASE("a complete read is followed by a watch from its revision")
{
    reader_fixture fixture({json(one_item), json(no_events)});
    REQUIRE(fixture.run_until_requested(3));
    CHECK(fixture.events == std::vector<std::string>{"+servers/i-1", "all 1"});
    CHECK(fixture.targets[0] == "/kv-range?prefix=");
    CHECK(fixture.targets[1].find("after=9") != std::string::npos);
}

TEST_CASE("pages are read one after the other")
{
    reader_fixture fixture(
        {json(R"({"items":[{"key":"a","value":"","revision":4}],)"
              R"("more_pages":true,"store_revision":9})"),
         json(R"({"items":[{"key":"b","value":"","revision":12}],)"
              R"("more_pages":false,"store_revision":13})")});
    REQUIRE(fixture.run_until_requested(3));
    CHECK(fixture.targets[1] == "/kv-range?prefix=&after=a");
    CHECK(fixture.events == std::vector<std::string>{"+a", "+b", "all 2"});
    // Changes made while the pages were read must not be missed.
    CHECK(fixture.targets[2].find("after=9&") != std::string::npos);
    CHECK(fixture.revision == 9);
}

// Hundreds of hosts start at once, and the store refuses requests beyond its
// rate. A host that restarted after each refusal would read the first pages
// over and over and never become ready.
TEST_CASE("a complete read continues at the page that was refused")
{
    reader_fixture fixture(
        {json(R"({"items":[{"key":"a","value":"","revision":4}],)"
              R"("more_pages":true,"store_revision":9})"),
         json("{}", 429),
         json(R"({"items":[{"key":"b","value":"","revision":12}],)"
              R"("more_pages":false,"store_revision":13})")});
    REQUIRE(fixture.run_until_requested(4));
    CHECK(fixture.targets[2] == "/kv-range?prefix=&after=a");
    CHECK(fixture.targets[3].find("after=9&") != std::string::npos);
    CHECK(fixture.revision == 9);
}

TEST_CASE("changes and removals are reported in order")
{
    reader_fixture fixture(
        {json(one_item),
         json(R"({"events":[{"key":"x","value":"","revision":10},)"
              R"({"key":"servers/i-1","revision":11,"tombstone":true}],)"
              R"("store_revision":11})")});
    REQUIRE(fixture.run_until_requested(3));
    CHECK(fixture.events
          == std::vector<std::string>{
              "+servers/i-1", "all 1", "+x", "-servers/i-1"});
    CHECK(fixture.targets[2].find("after=11") != std::string::npos);
}

// The store discards its history while no watch is open. Continuing from there
// would miss the changes in between.
TEST_CASE("a discarded history triggers a complete read")
{
    reader_fixture fixture({json(one_item), json("{}", 410), json(one_item)});
    REQUIRE(fixture.run_until_requested(4));
    CHECK(fixture.targets[2] == "/kv-range?prefix=");
}

TEST_CASE("a refusal, a reset and invalid bytes are retried")
{
    for (std::string const& bad :
         {json("", 503), json("", 429), std::string("reset"), json("[")}) {
        CAPTURE(bad);
        reader_fixture fixture({json(one_item), bad, json(no_events)});
        REQUIRE(fixture.run_until_requested(4));
        REQUIRE(fixture.events.size() >= 4);
        CHECK(fixture.events[2].find("lost") == 0);
        CHECK(fixture.events[3] == "regained");
    }
}

// The connection to the store goes silent permanently while new ones work. Only
// a timeout detects it.
TEST_CASE("a silent store is detected and queried on a new connection")
{
    reader_fixture fixture({json(one_item)});
    REQUIRE(fixture.run_until_requested(3));
    CHECK(fixture.events.back() == "lost silent");
    CHECK(fixture.store.connections == 2);
}

// A watch that returns early with changes was evaluated at an unknown time
// after it was sent. If a later time were assumed, a removed key would stay
// valid too long.
TEST_CASE("a confirmation is never later than the store's evaluation")
{
    reader_fixture fixture(
        {json(one_item),
         json(R"({"events":[{"key":"x","value":"","revision":10}],)"
              R"("store_revision":10})")});
    auto const before = fixture.loop.now();
    REQUIRE(fixture.run_until_requested(3));
    REQUIRE(fixture.confirmed);
    CHECK(*fixture.confirmed >= before);
    CHECK(*fixture.confirmed < fixture.loop.now() - 90ms);
}

// If an answer were dropped and requested again from its first byte, a
// configuration of 300 KB would never arrive over a saturated link, and callers
// would get 404 for its routes.
TEST_CASE("a store answer that arrives slowly is not abandoned")
{
    reader_fixture fixture({json(one_item), json(no_events)});
    fixture.slow_pieces = 8;
    fixture.delay = 250ms;
    REQUIRE(fixture.run_until_requested(2));
    CHECK(fixture.events == std::vector<std::string>{"+servers/i-1", "all 1"});
    CHECK(fixture.store.connections == 1);
}

// Guards against a store that goes silent midway and blocks the reader forever.
TEST_CASE("a store answer that stalls midway is abandoned")
{
    reader_fixture fixture({json(one_item)});
    fixture.slow_pieces = 2;
    fixture.delay = 900ms;
    REQUIRE(fixture.run_until_requested(2));
    REQUIRE(!fixture.events.empty());
    CHECK(fixture.events.front() == "lost silent");
}

TEST_CASE("an idle reader polls only on request")
{
    reader_fixture fixture({json(one_item), json(no_events), json(no_events)});
    fixture.reader.set_watching(false);
    REQUIRE(fixture.run_until_requested(1));
    fixture.run_for(400ms);
    CHECK(fixture.targets.size() == 1);
    fixture.reader.poll_once();
    REQUIRE(fixture.run_until_requested(2));
    CHECK(fixture.targets[1].find("wait_ms=1") != std::string::npos);
}

// An idle host of a large fleet learns from peers that an engine was added and
// removed. It then polls the store itself once. If it asked for everything
// since its own last request, it would take the engine's first entry for a
// change, receive the removal only with the next request, and send requests to
// an engine that is gone.
TEST_CASE("an idle reader continues from the revision received from peers")
{
    reader_fixture fixture({json(one_item), json(no_events), json(no_events)});
    fixture.reader.set_watching(false);
    REQUIRE(fixture.run_until_requested(1));
    fixture.run_for(100ms);
    fixture.reader.skip_to(31);
    fixture.reader.skip_to(20);
    fixture.reader.poll_once();
    REQUIRE(fixture.run_until_requested(2));
    CHECK(fixture.targets[1].find("after=31&") != std::string::npos);
}

// The store is unavailable for some seconds. Each of 64 hosts then receives
// nothing new and polls the store itself. At the retry rate of the watching
// hosts they made a thousand requests in eight seconds, all of them in vain.
TEST_CASE("an idle reader rarely polls a store that is unavailable")
{
    constexpr model::milliseconds outage{3'000};
    auto const asked_in_outage = [outage](bool watches) {
        std::deque<std::string> answers{json(one_item)};
        for (int number = 0; number < 50; ++number) {
            answers.emplace_back("reset");
        }
        reader_fixture fixture(answers);
        fixture.reader.set_watching(watches);
        REQUIRE(fixture.run_until_requested(1));
        bool over = false;
        fixture.loop.after(outage, [&over] {
            over = true;
        });
        fixture.loop.after(50ms, [&fixture] {
            fixture.reader.poll_once();
        });
        while (!over) {
            fixture.loop.run_once();
        }
        return fixture.targets.size();
    };
    CHECK(asked_in_outage(true) >= 8);
    CHECK(asked_in_outage(false) <= 6);
    CHECK(asked_in_outage(false) >= 5);
}

// A store that answers each page after more than the first timeout costs a
// timeout and an answer a page, and a host that starts is ready twice as late.
TEST_CASE("a store that is slow throughout is asked once a page")
{
    reader_fixture fixture({page("a", 9, true),
                            page("a", 9, true),
                            page("b", 9, true),
                            page("c", 9, true),
                            page("d", 9, false)});
    fixture.answer_delay = 800ms;
    REQUIRE(fixture.run_until_requested(6));
    CHECK(std::count_if(
              fixture.targets.begin(), fixture.targets.end(), is_complete_read)
          == 2);
    CHECK(std::count(fixture.targets.begin(),
                     fixture.targets.end(),
                     "/kv-range?prefix=&after=b")
          == 1);
    CHECK(fixture.events
          == std::vector<std::string>{
              "lost silent", "regained", "+a", "+b", "+c", "+d", "all 4"});
}

// Guards against a silent connection that is noticed late because the store was
// slow at some time before.
TEST_CASE("a store that is fast again is given the short timeout")
{
    reader_fixture fixture(
        {page("a", 9, true), page("a", 9, true), page("b", 9, true)});
    fixture.answer_delay = 800ms;
    REQUIRE(fixture.run_until_requested(3));
    fixture.answer_delay = 0ms;
    fixture.answers.push_front(page("b", 9, true));
    REQUIRE(fixture.run_until_requested(4));
    REQUIRE(fixture.run_until_requested(5));
    // From here on the store is silent.
    auto const asked = fixture.loop.now();
    REQUIRE(fixture.run_until_requested(6));
    // A store that is still taken for a slow one gets twice 700 ms.
    CHECK(fixture.loop.now() - asked < 1'400ms);
}
