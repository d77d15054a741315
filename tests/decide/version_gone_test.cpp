#include "tests/decide/support.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace caperjunction;
using namespace caperjunction::tests;

// Guards against an answer whose tokens come from two software versions.
TEST_CASE("a broken answer resumes at the software version that began it")
{
    router_fixture fixture;
    fixture.add_engines(4, 4);
    for (std::size_t engine = 0; engine < 4; ++engine) {
        fixture.upstreams.engines[engine].software_version =
            engine % 2 == 0 ? "v1" : "v2";
    }
    fixture.handle(decide::upstreams_changed{fixture.upstreams});
    auto const version_of = [&fixture](std::string const& name) {
        for (model::engine const& engine : fixture.upstreams.engines) {
            if (engine.name == name) {
                return engine.software_version;
            }
        }
        return std::string();
    };
    for (std::uint64_t id = 1; id <= 8; ++id) {
        fixture.send_request(id, "counter");
        auto const first = fixture.decisions_of<decide::dispatch>().back();
        fixture.relay_tokens({id}, 7);
        fixture.end_attempt(
            {id}, first.upstream, decide::attempt_end::broken, 7);
        auto const second = fixture.decisions_of<decide::dispatch>().back();
        CHECK(second.resume_offset == 7);
        CHECK(second.upstream != first.upstream);
        CHECK(version_of(second.upstream) == version_of(first.upstream));
        fixture.end_attempt(
            {id}, second.upstream, decide::attempt_end::complete, 20);
        fixture.advance_time(model::milliseconds{2'000});
    }
}

// Guards against an answer that waits for an engine that can't come back.
TEST_CASE("a broken answer of a version that has gone ends at once")
{
    router_fixture fixture;
    fixture.add_engines(2, 4);
    fixture.upstreams.engines[0].software_version = "v1";
    fixture.upstreams.engines[1].software_version = "v2";
    fixture.handle(decide::upstreams_changed{fixture.upstreams});
    fixture.send_request(1, "counter");
    auto const sent = fixture.decisions_of<decide::dispatch>().back();
    fixture.relay_tokens({1}, 7);
    for (model::engine& engine : fixture.upstreams.engines) {
        engine.leaving = engine.name == sent.upstream;
    }
    fixture.handle(decide::upstreams_changed{fixture.upstreams});
    fixture.end_attempt({1}, sent.upstream, decide::attempt_end::broken, 7);
    CHECK(fixture.decisions_of<decide::dispatch>().size() == 1);
    auto const refused = fixture.decisions_of<decide::refuse>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == "version_gone");
    CHECK(refused[0].outcome == model::outcome::unknown);
}

// Guards against an answer that waits for an engine that leaves meanwhile.
TEST_CASE("a broken answer that waits ends when its version goes")
{
    router_fixture fixture;
    fixture.add_engines(3, 1);
    fixture.upstreams.engines[0].software_version = "v1";
    fixture.upstreams.engines[1].software_version = "v1";
    fixture.upstreams.engines[2].software_version = "v2";
    fixture.handle(decide::upstreams_changed{fixture.upstreams});
    for (std::uint64_t id = 1; id <= 3; ++id) {
        fixture.send_request(id, "counter");
        fixture.relay_tokens({id}, 7);
    }
    auto const sent = fixture.decisions_of<decide::dispatch>();
    REQUIRE(sent.size() == 3);
    auto const& broken =
        *std::find_if(sent.begin(), sent.end(), [](auto const& item) {
            return item.upstream == "engine-1";
        });
    // The other engine of its version can't take it.
    fixture.handle(decide::engine_lost{"engine-2"});
    fixture.upstreams.engines[0].leaving = true;
    fixture.handle(decide::upstreams_changed{fixture.upstreams});
    fixture.end_attempt(
        broken.id, broken.upstream, decide::attempt_end::broken, 7);
    REQUIRE(fixture.decisions_of<decide::dispatch>().size() == 3);
    REQUIRE(fixture.decisions_of<decide::refuse>().empty());

    fixture.upstreams.engines[1].leaving = true;
    fixture.handle(decide::upstreams_changed{fixture.upstreams});
    auto const refused = fixture.decisions_of<decide::refuse>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].id == broken.id);
    CHECK(refused[0].reason == "version_gone");
    CHECK(refused[0].outcome == model::outcome::unknown);
}
