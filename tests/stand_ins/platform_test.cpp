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

    bool run_until_ended(http_call const& call)
    {
        return loop.run_until([&] {
            return call.has_ended();
        });
    }

    testing::test_loop loop;
    stand_ins::platform platform;
};

} // namespace

TEST_CASE("a watch returns the next published revision")
{
    fixture test(with_plans());
    http_call const first = test.read();
    REQUIRE(test.run_until_ended(first));
    CHECK(first.body() == R"({"revision":1,"value":{"tiers":[]}})");
    http_call const watch = test.read("?after=1&wait_ms=600000");
    REQUIRE(test.loop.run_until([&] {
        return test.platform.calls() == 2;
    }));
    CHECK(!watch.has_ended());
    test.platform.publish("plans", "{}");
    REQUIRE(test.run_until_ended(watch));
    CHECK(watch.body() == R"({"revision":2,"value":{}})");
}

TEST_CASE("a watch without a new revision ends with 304")
{
    fixture test(with_plans());
    http_call const watch = test.read("?after=1&wait_ms=1");
    REQUIRE(test.run_until_ended(watch));
    CHECK(watch.status() == 304);
}

// Models the load of a fleet whose hosts all restart and read every value at
// the same time. The platform refuses calls above its rate limit.
TEST_CASE("calls above the rate limit are refused")
{
    auto settings = with_plans();
    settings.calls_per_second = 0;
    fixture test(settings);
    http_call const call = test.read();
    REQUIRE(test.run_until_ended(call));
    CHECK(call.status() == 429);
    CHECK(test.platform.refused_calls() == 1);
}

// After an outage the platform may answer from an outdated replica. A reader
// that trusts it goes back to an older list.
TEST_CASE("a platform that is down replies 503, a stale one an old revision")
{
    fixture test(with_plans());
    test.platform.set_stale(true);
    test.platform.publish("plans", "{}");
    http_call const stale = test.read();
    REQUIRE(test.run_until_ended(stale));
    CHECK(stale.body().find(R"("revision":1,)") != std::string::npos);
    test.platform.set_down(true);
    http_call const down = test.read();
    REQUIRE(test.run_until_ended(down));
    CHECK(down.status() == 503);
    test.platform.set_down(false);
    test.platform.set_stale(false);
    http_call const back = test.read();
    REQUIRE(test.run_until_ended(back));
    CHECK(back.body().find(R"("revision":2,)") != std::string::npos);
}

// A caller cannot distinguish a service that crashes after the execution from
// one that crashes before it. Only the service's execution count shows it.
TEST_CASE("a service that crashes after the execution counts it")
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
            return call.has_ended();
        }));
        CHECK(call.status() == 0);
    }
    CHECK(service.executions()
          == std::map<std::string, std::uint64_t>{{"a", 1}});
}
