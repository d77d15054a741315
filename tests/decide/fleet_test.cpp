#include "tests/decide/support.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::tests;

namespace {

void add_two_models(router_fixture& host)
{
    for (int number = 0; number < 6; ++number) {
        model::engine engine;
        engine.name = "engine-" + std::to_string(number);
        engine.region = "west";
        engine.models = {number < 1 ? "draft" : "spare"};
        engine.slots = 2;
        host.upstreams.engines.push_back(engine);
    }
    host.handle(decide::upstreams_changed{host.upstreams});
}

} // namespace

// All demand moves to one model while the engines of another model are idle.
// Without the shift, callers are refused for hours beside idle engines.
TEST_CASE("an engine of an idle model is requested for an overloaded one")
{
    router_fixture host;
    add_two_models(host);
    std::uint64_t id = 0;
    for (int second = 0; second < 60; ++second) {
        host.send_request(++id, "office");
        host.send_request(++id, "office");
        host.advance_time(std::chrono::seconds{1});
    }
    auto const shifts = host.decisions_of<decide::shift_model>();
    REQUIRE(shifts.size() == 1);
    CHECK(shifts[0].model == "draft");
    CHECK(shifts[0].engine == "engine-1");
}

TEST_CASE("no engine is requested while no model is overloaded")
{
    router_fixture host;
    add_two_models(host);
    host.advance_time(std::chrono::seconds{60});
    CHECK(host.decisions_of<decide::shift_model>().empty());
}

// A peer queues a higher tier for the shared engines. If this host used their
// remaining capacity for its own lower tiers, the higher tier would wait.
TEST_CASE("lower tiers wait while a peer queues a higher tier")
{
    router_fixture host;
    host.add_engines(1, 8);
    router_fixture peer;
    peer.add_engines(1, 1);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        peer.send_request(id, "counter");
    }
    host.handle(
        decide::digest_received{"host-2", peer.router.digest(peer.now)});
    host.send_request(1, "office");
    CHECK(host.decisions_of<decide::dispatch>().empty());
    host.handle(decide::host_lost{"host-2"});
    host.advance_time(std::chrono::milliseconds{100});
    CHECK(host.decisions_of<decide::dispatch>().size() == 1);
}

// One engine decodes at a quarter of the others' speed. Requests sent there
// miss their target although the rest of the fleet has capacity.
TEST_CASE("a slow engine is ejected, and readmitted after it has recovered")
{
    router_fixture host;
    host.add_engines(6, 4);
    std::uint64_t id = 0;
    for (int round = 0; round < 300; ++round) {
        bool const slow = round < 100;
        std::size_t const first_new = host.decisions.size();
        for (int count = 0; count < 22; ++count) {
            host.send_request(++id, "counter");
        }
        std::vector<decide::dispatch> sent;
        for (std::size_t position = first_new; position < host.decisions.size();
             ++position) {
            if (auto* item =
                    std::get_if<decide::dispatch>(&host.decisions[position])) {
                sent.push_back(*item);
                host.relay_tokens(item->id, 1);
            }
        }
        for (bool const slow_turn : {false, true}) {
            host.advance_time(std::chrono::milliseconds{slow_turn ? 140 : 20});
            for (decide::dispatch const& item : sent) {
                if ((slow && item.upstream == "engine-3") == slow_turn) {
                    host.relay_tokens(item.id, 1);
                    host.end_attempt(item.id,
                                     item.upstream,
                                     decide::attempt_end::complete,
                                     2);
                }
            }
        }
    }
    auto const ejected = host.decisions_of<decide::eject_engine>();
    REQUIRE_FALSE(ejected.empty());
    for (auto const& item : ejected) {
        CHECK(item.engine == "engine-3");
    }
    CHECK_FALSE(host.decisions_of<decide::readmit_engine>().empty());
}

TEST_CASE("a digest of 15 engines and 10 teams fits in two kilobytes")
{
    router_fixture host;
    host.add_engines(15, 32);
    for (std::uint64_t id = 1; id <= 400; ++id) {
        decide::request request =
            host.make_request(id, id % 2 == 0 ? "desk" : "office");
        request.team = "team-" + std::to_string(id % 10);
        host.handle(decide::request_arrived{request});
        host.relay_tokens({id}, 1);
    }
    CHECK(host.router.digest(host.now).size() <= 2048);
}
