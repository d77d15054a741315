#include "decide/router.hpp"
#include "tests/decide/support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

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

TEST_CASE("a request without capacity is queued and starts when there is some")
{
    router_fixture fixture;
    fixture.add_engines(1, 2);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        fixture.send_request(id, "office");
    }
    auto const sent = fixture.decisions_of<decide::dispatch>();
    REQUIRE(sent.size() < 4);
    fixture.end_attempt(
        sent[0].id, sent[0].upstream, decide::attempt_end::complete);
    CHECK(fixture.decisions_of<decide::dispatch>().size() == sent.size() + 1);
}

TEST_CASE("a higher tier overtakes a lower one that arrived first")
{
    router_fixture fixture;
    fixture.add_engines(1, 1);
    fixture.send_request(1, "office");
    fixture.send_request(2, "office");
    fixture.send_request(3, "counter");
    fixture.send_request(4, "counter");
    auto const sent = fixture.decisions_of<decide::dispatch>();
    REQUIRE(sent.size() >= 1);
    fixture.end_attempt({1}, sent[0].upstream, decide::attempt_end::complete);
    for (auto const& one : fixture.decisions_of<decide::dispatch>()) {
        CHECK(one.id != model::request_id{2});
    }
}

// Guards against an overloaded engine that must go on to refuse requests of a
// host that it has asked to wait.
TEST_CASE("an engine gets nothing for as long as it has asked for")
{
    using namespace std::chrono_literals;
    router_fixture fixture;
    fixture.add_engines(2, 2);
    fixture.send_request(1, "counter");
    auto const first = fixture.decisions_of<decide::dispatch>();
    REQUIRE(first.size() == 1);
    std::string const paused = first[0].upstream;
    fixture.handle(decide::attempt_ended{
        {1}, paused, decide::attempt_end::refused, 0, 0, 3s});
    for (std::uint64_t id = 2; id <= 20; ++id) {
        fixture.send_request(id, "counter");
    }
    fixture.advance_time(2'800ms);
    auto const count_paused = [&] {
        auto const all = fixture.decisions_of<decide::dispatch>();
        return std::count_if(all.begin(), all.end(), [&](auto const& item) {
            return item.upstream == paused;
        });
    };
    CHECK(count_paused() == 1);
    CHECK(fixture.decisions_of<decide::dispatch>().size() > 2);
    fixture.advance_time(600ms);
    for (std::uint64_t id = 21; id <= 30; ++id) {
        fixture.send_request(id, "counter");
    }
    CHECK(count_paused() > 1);
}

TEST_CASE("a service instance gets nothing for as long as it has asked for")
{
    using namespace std::chrono_literals;
    router_fixture fixture;
    for (char const* const name : {"ledger-1", "ledger-2"}) {
        model::service_instance instance;
        instance.name = name;
        instance.service = "ledger";
        instance.region = "west";
        fixture.upstreams.services.push_back(instance);
    }
    fixture.handle(decide::upstreams_changed{fixture.upstreams});
    auto const call = [&fixture](std::uint64_t id) {
        decide::request request = fixture.make_request(id, "counter");
        request.model = "";
        request.service = "ledger";
        fixture.handle(decide::request_arrived{request});
        return fixture.decisions_of<decide::dispatch>().back().upstream;
    };
    std::string const paused = call(1);
    fixture.handle(decide::attempt_ended{
        {1}, paused, decide::attempt_end::refused, 0, 0, 3s});
    for (std::uint64_t id = 2; id <= 10; ++id) {
        CHECK(call(id) != paused);
    }
    fixture.advance_time(3'100ms);
    CHECK(call(11) == paused);
}

// The connection breaks after the engine has received the request. Whether it
// ran is unknown; a second run could charge the client twice.
TEST_CASE("a non-repeatable request is not sent again after a broken attempt")
{
    router_fixture fixture;
    fixture.add_engines(2, 4);
    fixture.send_request(1, "counter", false);
    auto const sent = fixture.decisions_of<decide::dispatch>();
    REQUIRE(sent.size() == 1);
    fixture.end_attempt({1}, sent[0].upstream, decide::attempt_end::broken);
    CHECK(fixture.decisions_of<decide::dispatch>().size() == 1);
    auto const refused = fixture.decisions_of<decide::refuse>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].outcome == model::outcome::unknown);
}

// An engine crashes in the middle of an answer. The caller sees a pause, then
// the rest, and no token twice.
TEST_CASE("a broken answer resumes elsewhere after the relayed tokens")
{
    router_fixture fixture;
    fixture.add_engines(2, 4);
    fixture.send_request(1, "counter");
    auto const sent = fixture.decisions_of<decide::dispatch>();
    REQUIRE(sent.size() == 1);
    fixture.relay_tokens({1}, 7);
    fixture.end_attempt({1}, sent[0].upstream, decide::attempt_end::broken, 7);
    auto const again = fixture.decisions_of<decide::dispatch>();
    REQUIRE(again.size() == 2);
    CHECK(again[1].resume_offset == 7);
    CHECK(again[1].upstream != sent[0].upstream);
}

TEST_CASE("a disconnected caller's request is cancelled at the engine")
{
    router_fixture fixture;
    fixture.add_engines(1, 4);
    fixture.send_request(1, "counter");
    fixture.handle(decide::request_cancelled{{1}});
    REQUIRE(fixture.decisions_of<decide::cancel_attempt>().size() == 1);
}

TEST_CASE("invalid digests from a peer are ignored")
{
    router_fixture fixture;
    fixture.add_engines(1, 4);
    fixture.handle(decide::digest_received{"host-2", {}});
    fixture.handle(decide::digest_received{"host-2", {1, 2, 3, 4, 5, 6, 7}});
    std::vector<std::uint8_t> own = fixture.router.digest(fixture.now);
    own.back() ^= 1;
    fixture.handle(decide::digest_received{"host-2", own});
    fixture.send_request(1, "counter");
    CHECK(fixture.decisions_of<decide::dispatch>().size() == 1);
}

namespace {

/// A host with two engines, and the digest of another one that runs a request
/// on the first of them.
struct cut_host : router_fixture
{
    cut_host()
    {
        add_engines(2, 1);
        router_fixture peer;
        peer.add_engines(2, 1);
        peer.send_request(1, "counter");
        handle(decide::digest_received{"host-2", peer.router.digest(peer.now)});
    }

    /// Ends the attempts of all decisions so far that found their engine gone.
    void lose_engines()
    {
        std::size_t ended = 0;
        auto sent = decisions_of<decide::dispatch>();
        while (ended < sent.size()) {
            auto const item = sent[ended++];
            end_attempt(
                item.id, item.upstream, decide::attempt_end::unreachable);
            sent = decisions_of<decide::dispatch>();
        }
    }
};

} // namespace

// A host has lost its links to all engines that another host still reaches. Its
// callers waited until they were refused, though nothing had run.
TEST_CASE("a request whose engines can't be reached here goes to another host")
{
    cut_host host;
    host.send_request(1, "counter");
    host.lose_engines();
    auto const moved = host.decisions_of<decide::hand_over>();
    REQUIRE(moved.size() == 1);
    CHECK(moved[0].host == "host-2");
    CHECK(moved[0].reason == "engines_unreachable");
    host.send_request(2, "office");
    CHECK(host.decisions_of<decide::hand_over>().size() == 2);
    CHECK(host.decisions_of<decide::refuse>().empty());
}

TEST_CASE("requests that wait when the last engine is lost go to another host")
{
    cut_host host;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        host.send_request(id, "counter");
    }
    host.lose_engines();
    CHECK(host.decisions_of<decide::hand_over>().size() == 8);
    CHECK(host.decisions_of<decide::refuse>().empty());
}

TEST_CASE("a request that the other host refuses waits for the engines here")
{
    cut_host host;
    host.send_request(1, "counter");
    host.lose_engines();
    REQUIRE(host.decisions_of<decide::hand_over>().size() == 1);
    host.handle(decide::hand_over_refused{{1}, "host-2"});
    CHECK(host.decisions_of<decide::refuse>().empty());
    std::size_t const sent = host.decisions_of<decide::dispatch>().size();
    host.advance_time(std::chrono::milliseconds{3'000});
    CHECK(host.decisions_of<decide::dispatch>().size() == sent + 1);
    CHECK(host.decisions_of<decide::hand_over>().size() == 1);
}

TEST_CASE("a request that may have run, or no host can reach, stays here")
{
    cut_host host;
    host.send_request(1, "counter");
    auto const first = host.decisions_of<decide::dispatch>().at(0);
    host.end_attempt({1}, first.upstream, decide::attempt_end::broken);
    host.lose_engines();
    CHECK(host.decisions_of<decide::hand_over>().empty());
    host.handle(decide::host_lost{"host-2"});
    host.send_request(2, "counter");
    CHECK(host.decisions_of<decide::hand_over>().empty());
}
