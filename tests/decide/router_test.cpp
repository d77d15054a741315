#include "decide/router.hpp"
#include "tests/decide/support.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::tests;

TEST_CASE("a request for a model that no engine serves is not run")
{
    decide::router router({"host-1", "west", "west-a", 1});
    decide::request request;
    request.id = {1};
    request.model = "draft";
    std::vector<decide::decision> out;
    router.handle(decide::request_arrived{request}, {}, out);
    REQUIRE(out.size() == 1);
    auto const& refused = std::get<decide::refuse>(out[0]);
    CHECK(refused.outcome == model::outcome::not_run);
    CHECK_FALSE(refused.remedy.empty());
}

TEST_CASE("what has no room waits here and starts when room is free")
{
    session session;
    session.add_engines(1, 2);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        session.arrive(id, "office");
    }
    auto const sent = session.all<decide::dispatch>();
    REQUIRE(sent.size() < 4);
    session.end(sent[0].id, sent[0].upstream, decide::attempt_end::complete);
    CHECK(session.all<decide::dispatch>().size() == sent.size() + 1);
}

TEST_CASE("a higher tier goes ahead of a lower one that came first")
{
    session session;
    session.add_engines(1, 1);
    session.arrive(1, "office");
    session.arrive(2, "office");
    session.arrive(3, "counter");
    session.arrive(4, "counter");
    auto const sent = session.all<decide::dispatch>();
    REQUIRE(sent.size() >= 1);
    session.end({1}, sent[0].upstream, decide::attempt_end::complete);
    for (auto const& one : session.all<decide::dispatch>()) {
        CHECK(one.id != model::request_id{2});
    }
}

// The engine's connection breaks after it has the request. Whether it ran is
// not known; the collector must not be charged twice.
TEST_CASE("work that may run once is not sent again after a broken attempt")
{
    session session;
    session.add_engines(2, 4);
    session.arrive(1, "counter", false);
    auto const sent = session.all<decide::dispatch>();
    REQUIRE(sent.size() == 1);
    session.end({1}, sent[0].upstream, decide::attempt_end::broken);
    CHECK(session.all<decide::dispatch>().size() == 1);
    auto const refused = session.all<decide::refuse>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].outcome == model::outcome::unknown);
}

// An engine crashes in the middle of an answer. The caller sees a pause, then
// the rest, and no token twice.
TEST_CASE("a broken answer goes on elsewhere after what was relayed")
{
    session session;
    session.add_engines(2, 4);
    session.arrive(1, "counter");
    auto const sent = session.all<decide::dispatch>();
    REQUIRE(sent.size() == 1);
    session.tokens({1}, 7);
    session.end({1}, sent[0].upstream, decide::attempt_end::broken, 7);
    auto const again = session.all<decide::dispatch>();
    REQUIRE(again.size() == 2);
    CHECK(again[1].resume_offset == 7);
    CHECK(again[1].upstream != sent[0].upstream);
}

TEST_CASE("a caller that hangs up is cancelled at the engine at once")
{
    session session;
    session.add_engines(1, 4);
    session.arrive(1, "counter");
    session.handle(decide::request_cancelled{{1}});
    REQUIRE(session.all<decide::cancel_attempt>().size() == 1);
}

TEST_CASE("bytes of a peer that are no digest change nothing")
{
    session session;
    session.add_engines(1, 4);
    session.handle(decide::digest_received{"host-2", {}});
    session.handle(decide::digest_received{"host-2", {1, 2, 3, 4, 5, 6, 7}});
    std::vector<std::uint8_t> own = session.router.digest(session.now);
    own.back() ^= 1;
    session.handle(decide::digest_received{"host-2", own});
    session.arrive(1, "counter");
    CHECK(session.all<decide::dispatch>().size() == 1);
}
