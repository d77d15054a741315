#include "stand_ins/http_client.hpp"
#include "stand_ins/platform.hpp"
#include "stand_ins/service.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using testing::http_call;

namespace {

stand_ins::platform_settings with_plans()
{
    stand_ins::platform_settings settings;
    settings.values["plans"] = R"({"tiers":[]})";
    return settings;
}

struct fixture
{
    explicit fixture(stand_ins::platform_settings const& settings)
        : platform(loop.base(), settings)
    {
    }

    http_call read(std::string const& query = "")
    {
        return {loop,
                platform.address(),
                EVHTTP_REQ_GET,
                "/v1/values/plans" + query};
    }

    bool finishes(http_call const& call)
    {
        return loop.run_until([&] {
            return call.is_over();
        });
    }

    testing::test_loop loop;
    stand_ins::platform platform;
};

} // namespace

TEST_CASE("a watch is answered by the next publication")
{
    fixture test(with_plans());
    http_call const first = test.read();
    REQUIRE(test.finishes(first));
    CHECK(first.body() == R"({"revision":1,"value":{"tiers":[]}})");
    http_call const watch = test.read("?after=1&wait_ms=600000");
    REQUIRE(test.loop.run_until([&] {
        return test.platform.calls() == 2;
    }));
    CHECK(!watch.is_over());
    test.platform.publish("plans", "{}");
    REQUIRE(test.finishes(watch));
    CHECK(watch.body() == R"({"revision":2,"value":{}})");
}

TEST_CASE("a watch that sees nothing new ends with 304")
{
    fixture test(with_plans());
    http_call const watch = test.read("?after=1&wait_ms=1");
    REQUIRE(test.finishes(watch));
    CHECK(watch.status() == 304);
}

// All hosts restart together and read everything at once. The service counts
// each call and refuses what goes over its rate.
TEST_CASE("calls over the rate are refused")
{
    auto settings = with_plans();
    settings.calls_per_second = 0;
    fixture test(settings);
    http_call const call = test.read();
    REQUIRE(test.finishes(call));
    CHECK(call.status() == 429);
    CHECK(test.platform.refused_calls() == 1);
}

// The service is down for a while, and after that answers from a copy that is
// behind. A reader that trusts it would go back to an older list.
TEST_CASE("down is an error, and stale is an older revision")
{
    fixture test(with_plans());
    test.platform.set_stale(true);
    test.platform.publish("plans", "{}");
    http_call const stale = test.read();
    REQUIRE(test.finishes(stale));
    CHECK(stale.body().find(R"("revision":1,)") != std::string::npos);
    test.platform.set_down(true);
    http_call const down = test.read();
    REQUIRE(test.finishes(down));
    CHECK(down.status() == 503);
    test.platform.set_down(false);
    test.platform.set_stale(false);
    http_call const back = test.read();
    REQUIRE(test.finishes(back));
    CHECK(back.body().find(R"("revision":2,)") != std::string::npos);
}

// A service runs a booking and dies before it answers. The caller cannot tell
// this from a call that never ran; only the service's own count can.
TEST_CASE("a service that crashes after executing has executed")
{
    testing::test_loop loop;
    stand_ins::service service(loop.base(), {});
    for (bool const executes : {true, false}) {
        service.crash_after(executes);
        service.crash_before(!executes);
        http_call const call(loop,
                             service.address(),
                             EVHTTP_REQ_POST,
                             "/entries",
                             "{}",
                             {{"Idempotency-Key", executes ? "a" : "b"}});
        REQUIRE(loop.run_until([&] {
            return call.is_over();
        }));
        CHECK(call.status() == 0);
    }
    CHECK(service.executions()
          == std::map<std::string, std::uint64_t>{{"a", 1}});
}
