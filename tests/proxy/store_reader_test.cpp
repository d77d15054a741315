#include "proxy/store_reader.hpp"

#include "platform/platform.hpp"
#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <deque>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

std::string json(std::string const& body, int status = 200)
{
    return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}",
                       status,
                       body.size(),
                       body);
}

std::string const one_item =
    R"({"items":[{"key":"servers/i-1","value":"e30=","revision":4}],)"
    R"("more_pages":false,"store_revision":9})";

std::string const no_events = R"({"events":[],"store_revision":9})";

/// Returns `answer` as sent over a saturated link: in pieces, slowly.
script in_pieces(std::string const& answer,
                 std::size_t pieces,
                 model::milliseconds delay)
{
    std::size_t const head = answer.find("\r\n\r\n") + 4;
    script slow{answer.substr(0, head)};
    slow.remainder = answer.substr(head);
    slow.delay = delay;
    slow.piece_bytes = slow.remainder.size() / pieces + 1;
    return slow;
}

/// A reader on a scripted store; its callbacks are recorded.
struct reader_fixture
{
    runtime::event_loop loop;
    std::deque<std::string> answers;
    std::vector<std::string> targets;
    scripted_upstream store;
    proxy::store_codec codec = platform::store_codec();
    std::size_t slow_pieces = 0;
    model::milliseconds delay{0};
    std::vector<std::string> events;
    std::optional<model::time_point> confirmed;
    std::uint64_t revision = 0;
    proxy::store_reader reader;

    explicit reader_fixture(std::deque<std::string> script_of_store)
        : answers(std::move(script_of_store))
        , store(loop,
                [this](received const& request) -> script {
                    targets.push_back(request.head.target);
                    if (answers.empty()) {
                        return {};
                    }
                    std::string const next = answers.front();
                    answers.pop_front();
                    if (next == "reset") {
                        return {"", false, true};
                    }
                    return slow_pieces == 0
                               ? script{next}
                               : in_pieces(next, slow_pieces, delay);
                })
        , reader(loop,
                 store.at(),
                 codec,
                 "",
                 {[this](proxy::store_item const& item) {
                      events.push_back((item.removed ? "-" : "+") + item.key);
                  },
                  [this](std::vector<std::string> const& keys,
                         routing::store_position) {
                      events.push_back("all " + std::to_string(keys.size()));
                  },
                  [this](model::time_point as_of,
                         routing::store_position all_up_to) {
                      confirmed = as_of;
                      revision = all_up_to.revision;
                  },
                  [this](proxy::store_failure const& loss) {
                      events.push_back("lost " + std::string(loss.reason));
                  },
                  [this] {
                      events.emplace_back("regained");
                  }})
    {
        reader.start(200ms, [this] {
            return loop.now();
        });
    }

    bool run_until_requested(std::size_t times)
    {
        auto const limit = loop.now() + 5s;
        while (targets.size() < times && loop.now() < limit) {
            loop.run_once();
        }
        return targets.size() >= times;
    }
};

} // namespace

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
    bool over = false;
    fixture.loop.after(400ms, [&over] {
        over = true;
    });
    while (!over) {
        fixture.loop.run_once();
    }
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
    bool over = false;
    fixture.loop.after(100ms, [&over] {
        over = true;
    });
    while (!over) {
        fixture.loop.run_once();
    }
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
