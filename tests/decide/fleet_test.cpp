#include "tests/decide/support.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::tests;

namespace {

void add_two_models(session& host)
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

// A campaign moves all demand to one model while the engines of another stand
// idle. Callers would be refused for hours beside idle engines.
TEST_CASE("an engine of an idle model is wished for one that is short")
{
    session host;
    add_two_models(host);
    std::uint64_t id = 0;
    for (int second = 0; second < 60; ++second) {
        host.arrive(++id, "office");
        host.arrive(++id, "office");
        host.pass(std::chrono::seconds{1});
    }
    auto const shifts = host.all<decide::shift_model>();
    REQUIRE(shifts.size() == 1);
    CHECK(shifts[0].model == "draft");
    CHECK(shifts[0].engine == "engine-1");
}

TEST_CASE("no engine is wished away while nothing is short")
{
    session host;
    add_two_models(host);
    host.pass(std::chrono::seconds{60});
    CHECK(host.all<decide::shift_model>().empty());
}

// A peer has a higher tier in queue for the shared engines. Were this host to
// fill their last room with its own lower work, that tier would wait for it.
TEST_CASE("lower work waits while a peer queues a higher tier")
{
    session host;
    host.add_engines(1, 8);
    session peer;
    peer.add_engines(1, 1);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        peer.arrive(id, "counter");
    }
    host.handle(
        decide::digest_received{"host-2", peer.router.digest(peer.now)});
    host.arrive(1, "office");
    CHECK(host.all<decide::dispatch>().empty());
    host.handle(decide::host_lost{"host-2"});
    host.pass(std::chrono::milliseconds{100});
    CHECK(host.all<decide::dispatch>().size() == 1);
}

// One engine decodes at a quarter of the others' speed. Requests sent there
// miss their target although the rest of the fleet has room.
TEST_CASE("a slow engine is ejected and taken back when it has recovered")
{
    session host;
    host.add_engines(6, 4);
    std::uint64_t id = 0;
    for (int round = 0; round < 300; ++round) {
        bool const slow = round < 100;
        std::size_t const first_new = host.out.size();
        for (int count = 0; count < 22; ++count) {
            host.arrive(++id, "counter");
        }
        std::vector<decide::dispatch> sent;
        for (std::size_t position = first_new; position < host.out.size();
             ++position) {
            if (auto* item =
                    std::get_if<decide::dispatch>(&host.out[position])) {
                sent.push_back(*item);
                host.tokens(item->id, 1);
            }
        }
        for (bool const slow_turn : {false, true}) {
            host.pass(std::chrono::milliseconds{slow_turn ? 140 : 20});
            for (decide::dispatch const& item : sent) {
                if ((slow && item.upstream == "engine-3") == slow_turn) {
                    host.tokens(item.id, 1);
                    host.end(item.id,
                             item.upstream,
                             decide::attempt_end::complete,
                             2);
                }
            }
        }
    }
    auto const ejected = host.all<decide::eject_engine>();
    REQUIRE_FALSE(ejected.empty());
    for (auto const& item : ejected) {
        CHECK(item.engine == "engine-3");
    }
    CHECK_FALSE(host.all<decide::readmit_engine>().empty());
}

TEST_CASE("today's digest stays within two kilobytes")
{
    session host;
    host.add_engines(15, 32);
    for (std::uint64_t id = 1; id <= 400; ++id) {
        decide::request made = host.make(id, id % 2 == 0 ? "desk" : "office");
        made.team = "team-" + std::to_string(id % 10);
        host.handle(decide::request_arrived{made});
        host.tokens({id}, 1);
    }
    CHECK(host.router.digest(host.now).size() <= 2048);
}
