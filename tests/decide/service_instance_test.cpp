#include "tests/decide/support.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <string>

using namespace caperjunction;
using namespace caperjunction::tests;
using namespace std::chrono_literals;

namespace {

/// A host before a plain service of which one instance is down, but listed.
struct service_fixture : router_fixture
{
    explicit service_fixture(std::size_t instances)
    {
        for (std::size_t number = 1; number <= instances; ++number) {
            model::service_instance instance;
            instance.name = "instance-" + std::to_string(number);
            instance.service = "orders";
            instance.region = "west";
            upstreams.services.push_back(instance);
        }
        handle(decide::upstreams_changed{upstreams});
    }

    /// Sends a call; all instances answer but the one that is down.
    void call(std::uint64_t id, bool repeatable)
    {
        decide::request request = make_request(id, "counter");
        request.model.clear();
        request.service = "orders";
        request.repeatable = repeatable;
        std::size_t handled = decisions_of<decide::dispatch>().size();
        handle(decide::request_arrived{request});
        for (auto sent = decisions_of<decide::dispatch>();
             sent.size() > handled;
             sent = decisions_of<decide::dispatch>()) {
            std::string const at = sent[handled++].upstream;
            bool const is_down = at == down;
            sent_to_down += is_down ? 1 : 0;
            end_attempt({id},
                        at,
                        is_down ? decide::attempt_end::unreachable
                                : decide::attempt_end::complete);
        }
    }

    std::size_t refused() const
    {
        return decisions_of<decide::refuse>().size();
    }

    std::string down = "instance-1";
    std::size_t sent_to_down = 0;
};

} // namespace

// Guards against bookings that are refused because an instance that is down has
// no calls, and so looks the least loaded.
TEST_CASE("one booking a second meets an instance that is down")
{
    service_fixture fixture(3);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        fixture.call(id, false);
        fixture.advance_time(20ms);
    }
    CHECK(fixture.sent_to_down >= 1);
    CHECK(fixture.refused() <= 2);
}

TEST_CASE("a repeatable call is served beside an instance that is down")
{
    service_fixture fixture(2);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        fixture.call(id, true);
        fixture.advance_time(20ms);
    }
    CHECK(fixture.sent_to_down <= 2);
    CHECK(fixture.refused() == 0);
}

// Guards against a service that stays unused after its only instance was away.
TEST_CASE("the only instance is tried though it was down")
{
    service_fixture fixture(1);
    fixture.call(1, false);
    CHECK(fixture.refused() == 1);
    fixture.down.clear();
    fixture.call(2, false);
    CHECK(fixture.refused() == 1);
}

TEST_CASE("an instance that is back gets calls again")
{
    service_fixture fixture(2);
    fixture.call(1, true);
    fixture.down.clear();
    fixture.advance_time(1'100ms);
    fixture.call(2, true);
    CHECK(fixture.decisions_of<decide::dispatch>().back().upstream
          == "instance-1");
}

// Guards against a call that crashes one instance after the other.
TEST_CASE("a call that breaks at three instances is not sent to a fourth")
{
    service_fixture fixture(6);
    decide::request request = fixture.make_request(1, "counter");
    request.model.clear();
    request.service = "orders";
    fixture.handle(decide::request_arrived{request});
    for (int attempt = 0; attempt < 6; ++attempt) {
        auto const at =
            fixture.decisions_of<decide::dispatch>().back().upstream;
        fixture.end_attempt({1}, at, decide::attempt_end::broken);
        fixture.advance_time(100ms);
    }
    CHECK(fixture.decisions_of<decide::dispatch>().size() == 3);
    auto const refused = fixture.decisions_of<decide::refuse>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == "broken_too_often");
    CHECK(refused[0].retry_after > 0ms);
}
