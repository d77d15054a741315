#include "tests/decide/support.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::tests;

namespace {

void add_models(session& own)
{
    for (int place = 0; place < 6; ++place) {
        model::engine engine;
        engine.name = "engine-" + std::to_string(place);
        engine.region = "west";
        engine.models = {place < 1 ? "draft" : "spare"};
        engine.slots = 2;
        own.upstreams.engines.push_back(engine);
    }
    own.handle(decide::upstreams_changed{own.upstreams});
}

} // namespace

// A campaign moves all demand to one model while the engines of another stand
// idle. Callers would be refused for hours beside idle engines.
TEST_CASE("an engine of an idle model is wished for one that is short")
{
    session own;
    add_models(own);
    std::uint64_t id = 0;
    for (int second = 0; second < 60; ++second) {
        own.arrive(++id, "office");
        own.arrive(++id, "office");
        own.pass(std::chrono::seconds{1});
    }
    auto const wishes = own.all<decide::shift_model>();
    REQUIRE(wishes.size() == 1);
    CHECK(wishes[0].model == "draft");
    CHECK(wishes[0].engine == "engine-1");
}

TEST_CASE("no engine is wished away while nothing is short")
{
    session own;
    add_models(own);
    own.pass(std::chrono::seconds{60});
    CHECK(own.all<decide::shift_model>().empty());
}

// A peer has a higher tier in queue for the shared engines. Were this host to
// fill their last room with its own lower work, that tier would wait for it.
TEST_CASE("lower work waits while a peer queues a higher tier")
{
    session own;
    own.add_engines(1, 8);
    session peer;
    peer.add_engines(1, 1);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        peer.arrive(id, "counter");
    }
    own.handle(decide::digest_received{"host-2", peer.router.digest(peer.now)});
    own.arrive(1, "office");
    CHECK(own.all<decide::dispatch>().empty());
    own.handle(decide::host_lost{"host-2"});
    own.pass(std::chrono::milliseconds{100});
    CHECK(own.all<decide::dispatch>().size() == 1);
}

// One engine decodes at a quarter of the others' speed. Requests sent there
// miss their target although the rest of the fleet has room.
TEST_CASE("a slow engine is ejected and taken back when it has recovered")
{
    session own;
    own.add_engines(6, 4);
    std::uint64_t id = 0;
    for (int round = 0; round < 300; ++round) {
        bool const slow = round < 100;
        std::size_t const before = own.out.size();
        for (int count = 0; count < 22; ++count) {
            own.arrive(++id, "counter");
        }
        std::vector<decide::dispatch> sent;
        for (std::size_t at = before; at < own.out.size(); ++at) {
            if (auto* one = std::get_if<decide::dispatch>(&own.out[at])) {
                sent.push_back(*one);
                own.tokens(one->id, 1);
            }
        }
        for (bool const lame : {false, true}) {
            own.pass(std::chrono::milliseconds{lame ? 140 : 20});
            for (decide::dispatch const& one : sent) {
                if ((slow && one.upstream == "engine-3") == lame) {
                    own.tokens(one.id, 1);
                    own.end(
                        one.id, one.upstream, decide::attempt_end::complete, 2);
                }
            }
        }
    }
    auto const ejected = own.all<decide::eject_engine>();
    REQUIRE_FALSE(ejected.empty());
    for (auto const& one : ejected) {
        CHECK(one.engine == "engine-3");
    }
    CHECK_FALSE(own.all<decide::readmit_engine>().empty());
}

TEST_CASE("today's digest stays within two kilobytes")
{
    session own;
    own.add_engines(15, 32);
    for (std::uint64_t id = 1; id <= 400; ++id) {
        decide::request made = own.make(id, id % 2 == 0 ? "desk" : "office");
        made.team = "team-" + std::to_string(id % 10);
        own.handle(decide::request_arrived{made});
        own.tokens({id}, 1);
    }
    CHECK(own.router.digest(own.now).size() <= 2048);
}
