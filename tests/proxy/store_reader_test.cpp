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

/// `answer` on a link that is full: it keeps coming, slowly.
script in_pieces(std::string const& answer,
                 std::size_t pieces,
                 model::milliseconds pause)
{
    std::size_t const head = answer.find("\r\n\r\n") + 4;
    script slow{answer.substr(0, head)};
    slow.rest = answer.substr(head);
    slow.pause = pause;
    slow.piece = slow.rest.size() / pieces + 1;
    return slow;
}

/// A reader on a scripted store; what it tells is kept.
struct reading
{
    runtime::event_loop loop;
    std::deque<std::string> answers;
    std::vector<std::string> asked;
    scripted_upstream store;
    proxy::store_codec codec = platform::store_codec();
    std::size_t slow_pieces = 0;
    model::milliseconds pause{0};
    std::vector<std::string> told;
    std::optional<model::time_point> confirmed;
    std::uint64_t revision = 0;
    proxy::store_reader reader;

    explicit reading(std::deque<std::string> script_of_store)
        : answers(std::move(script_of_store))
        , store(loop,
                [this](received const& request) -> script {
                    asked.push_back(request.head.target);
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
                               : in_pieces(next, slow_pieces, pause);
                })
        , reader(loop,
                 store.at(),
                 codec,
                 "",
                 {[this](proxy::store_item const& item) {
                      told.push_back((item.removed ? "-" : "+") + item.key);
                  },
                  [this](std::vector<std::string> const& keys) {
                      told.push_back("all " + std::to_string(keys.size()));
                  },
                  [this](model::time_point as_of, std::uint64_t all_up_to) {
                      confirmed = as_of;
                      revision = all_up_to;
                  },
                  [this](proxy::store_failure const& loss) {
                      told.push_back("lost " + std::string(loss.reason));
                  },
                  [this] {
                      told.emplace_back("regained");
                  }})
    {
        reader.start(200ms, [this] {
            return loop.now();
        });
    }

    bool run_until_asked(std::size_t times)
    {
        auto const limit = loop.now() + 5s;
        while (asked.size() < times && loop.now() < limit) {
            loop.run_once();
        }
        return asked.size() >= times;
    }
};

} // namespace

TEST_CASE("a whole read is followed by a watch from its revision")
{
    reading site({json(one_item), json(no_events)});
    REQUIRE(site.run_until_asked(3));
    CHECK(site.told == std::vector<std::string>{"+servers/i-1", "all 1"});
    CHECK(site.asked[0] == "/kv-range?prefix=");
    CHECK(site.asked[1].find("after=9") != std::string::npos);
}

TEST_CASE("pages are read one after the other")
{
    reading site({json(R"({"items":[{"key":"a","value":"","revision":4}],)"
                       R"("more_pages":true,"store_revision":9})"),
                  json(R"({"items":[{"key":"b","value":"","revision":12}],)"
                       R"("more_pages":false,"store_revision":13})")});
    REQUIRE(site.run_until_asked(3));
    CHECK(site.asked[1] == "/kv-range?prefix=&after=a");
    CHECK(site.told == std::vector<std::string>{"+a", "+b", "all 2"});
    // What changed while the pages were read must not be missed.
    CHECK(site.asked[2].find("after=9&") != std::string::npos);
    CHECK(site.revision == 9);
}

// Hundreds of hosts start at once, and the store refuses what is beyond its
// rate. A host that began anew after each refusal would read the first pages
// over and over and never be ready.
TEST_CASE("a whole read goes on at the page that was refused")
{
    reading site({json(R"({"items":[{"key":"a","value":"","revision":4}],)"
                       R"("more_pages":true,"store_revision":9})"),
                  json("{}", 429),
                  json(R"({"items":[{"key":"b","value":"","revision":12}],)"
                       R"("more_pages":false,"store_revision":13})")});
    REQUIRE(site.run_until_asked(4));
    CHECK(site.asked[2] == "/kv-range?prefix=&after=a");
    CHECK(site.asked[3].find("after=9&") != std::string::npos);
    CHECK(site.revision == 9);
}

TEST_CASE("changes and removals are told in order")
{
    reading site(
        {json(one_item),
         json(R"({"events":[{"key":"x","value":"","revision":10},)"
              R"({"key":"servers/i-1","revision":11,"tombstone":true}],)"
              R"("store_revision":11})")});
    REQUIRE(site.run_until_asked(3));
    CHECK(site.told
          == std::vector<std::string>{
              "+servers/i-1", "all 1", "+x", "-servers/i-1"});
    CHECK(site.asked[2].find("after=11") != std::string::npos);
}

// The store drops its history while a watch is away. Going on from there
// would miss the changes between.
TEST_CASE("a forgotten history leads to a whole read")
{
    reading site({json(one_item), json("{}", 410), json(one_item)});
    REQUIRE(site.run_until_asked(4));
    CHECK(site.asked[2] == "/kv-range?prefix=");
}

TEST_CASE("a refusal, a reset and bytes that can't be read are tried again")
{
    for (std::string const& bad :
         {json("", 503), json("", 429), std::string("reset"), json("[")}) {
        CAPTURE(bad);
        reading site({json(one_item), bad, json(no_events)});
        REQUIRE(site.run_until_asked(4));
        REQUIRE(site.told.size() >= 4);
        CHECK(site.told[2].find("lost") == 0);
        CHECK(site.told[3] == "regained");
    }
}

// The connection to the store goes silent for good, and new ones work. Only
// a time limit shows it.
TEST_CASE("a silent store is found out and asked on a new connection")
{
    reading site({json(one_item)});
    REQUIRE(site.run_until_asked(3));
    CHECK(site.told.back() == "lost silent");
    CHECK(site.store.connections == 2);
}

// A watch that returns early with changes was answered at an unknown moment
// after it was sent; taken for later, a removed key would live too long.
TEST_CASE("a confirmation is never later than what the store can have seen")
{
    reading site({json(one_item),
                  json(R"({"events":[{"key":"x","value":"","revision":10}],)"
                       R"("store_revision":10})")});
    auto const before = site.loop.now();
    REQUIRE(site.run_until_asked(3));
    REQUIRE(site.confirmed);
    CHECK(*site.confirmed >= before);
    CHECK(*site.confirmed < site.loop.now() - 90ms);
}

// Dropped and asked for anew from its first byte, a configuration of 300 KB
// never arrives over a full link, and callers get 404 for its routes.
TEST_CASE("an answer of the store that keeps coming is not given up")
{
    reading site({json(one_item), json(no_events)});
    site.slow_pieces = 8;
    site.pause = 250ms;
    REQUIRE(site.run_until_asked(2));
    CHECK(site.told == std::vector<std::string>{"+servers/i-1", "all 1"});
    CHECK(site.store.connections == 1);
}

// A store that falls silent midway would otherwise hold up the reader for ever.
TEST_CASE("an answer of the store that stops midway is given up")
{
    reading site({json(one_item)});
    site.slow_pieces = 2;
    site.pause = 900ms;
    REQUIRE(site.run_until_asked(2));
    REQUIRE(!site.told.empty());
    CHECK(site.told.front() == "lost silent");
}

TEST_CASE("a reader that rests asks only when told to")
{
    reading site({json(one_item), json(no_events), json(no_events)});
    site.reader.set_watching(false);
    REQUIRE(site.run_until_asked(1));
    bool over = false;
    site.loop.after(400ms, [&over] {
        over = true;
    });
    while (!over) {
        site.loop.run_once();
    }
    CHECK(site.asked.size() == 1);
    site.reader.poll_once();
    REQUIRE(site.run_until_asked(2));
    CHECK(site.asked[1].find("wait_ms=1") != std::string::npos);
}

// A host of a large fleet rests and hears from peers that an engine has come
// and gone. Then it asks the store itself, once. Told of all since its own last
// call, it would take the engine's first entry for news, not hear of its end
// before the next call, and send requests to an engine that is gone.
TEST_CASE("a reader that rested goes on from what peers have told")
{
    reading site({json(one_item), json(no_events), json(no_events)});
    site.reader.set_watching(false);
    REQUIRE(site.run_until_asked(1));
    bool over = false;
    site.loop.after(100ms, [&over] {
        over = true;
    });
    while (!over) {
        site.loop.run_once();
    }
    site.reader.skip_to(31);
    site.reader.skip_to(20);
    site.reader.poll_once();
    REQUIRE(site.run_until_asked(2));
    CHECK(site.asked[1].find("after=31&") != std::string::npos);
}

// The store goes away for some seconds. Each of 64 hosts then hears nothing
// new and asks it for itself; at the pace of those that watch for all these
// made a thousand calls in eight seconds, all of them in vain.
TEST_CASE("a reader that others watch for seldom asks a store that is away")
{
    constexpr model::milliseconds outage{3'000};
    auto const asked_in_outage = [outage](bool watches) {
        std::deque<std::string> answers{json(one_item)};
        for (int number = 0; number < 50; ++number) {
            answers.emplace_back("reset");
        }
        reading site(answers);
        site.reader.set_watching(watches);
        REQUIRE(site.run_until_asked(1));
        bool over = false;
        site.loop.after(outage, [&over] {
            over = true;
        });
        site.loop.after(50ms, [&site] {
            site.reader.poll_once();
        });
        while (!over) {
            site.loop.run_once();
        }
        return site.asked.size();
    };
    CHECK(asked_in_outage(true) >= 8);
    CHECK(asked_in_outage(false) <= 8);
    CHECK(asked_in_outage(false) >= 5);
}
