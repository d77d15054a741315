#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

script done(received const&)
{
    return {valid_answer("done")};
}

} // namespace

// Guards against refusals by a host that has its configuration a moment later.
TEST_CASE("a request that a starting host receives waits for the configuration")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", done);
    auto const table = std::exchange(fixture.context.table, nullptr);
    auto const caller = fixture.send(relay_fixture::request("/book/"));
    fixture.run_for(60ms);
    CHECK(caller->received_bytes.empty());
    fixture.context.table = table;
    REQUIRE(fixture.run_until([&] {
        return !caller->received_bytes.empty();
    }));
    CHECK(caller->received_bytes.find("HTTP/1.1 200") == 0);
}

// Guards against refusals by a host that has the configuration from one peer
// and not yet the upstreams from another.
TEST_CASE("a request that a starting host receives waits for the upstreams")
{
    relay_fixture fixture;
    fixture.context.known.upstreams = 0;
    auto const caller = fixture.send(relay_fixture::request("/book/"));
    fixture.run_for(60ms);
    CHECK(caller->received_bytes.empty());
    fixture.add("i-1", "ledger", done);
    fixture.context.known.upstreams = 1;
    REQUIRE(fixture.run_until([&] {
        return !caller->received_bytes.empty();
    }));
    CHECK(caller->received_bytes.find("HTTP/1.1 200") == 0);
}

// Guards against callers that wait although nothing is to come: the host knows
// that its last upstream is gone.
TEST_CASE("a host that knows of no upstream refuses at once")
{
    relay_fixture fixture;
    auto const caller = fixture.send(relay_fixture::request("/book/"));
    fixture.run_for(60ms);
    CHECK(caller->received_bytes.find("HTTP/1.1 503") == 0);
    CHECK(caller->received_bytes.find("Retry-After") != std::string::npos);
}

// Guards against callers that wait for a host that gets no configuration.
TEST_CASE("a host without configuration refuses after a short wait")
{
    relay_fixture fixture;
    fixture.context.table = nullptr;
    auto const sent_at = fixture.loop.now();
    auto const caller = fixture.send(relay_fixture::request("/book/"));
    REQUIRE(fixture.run_until([&] {
        return !caller->received_bytes.empty();
    }));
    CHECK(fixture.loop.now() - sent_at < 1s);
    CHECK(caller->received_bytes.find("HTTP/1.1 503") == 0);
    CHECK(caller->received_bytes.find("Retry-After") != std::string::npos);
}

// Guards against a request that outlives its caller while it waits.
TEST_CASE("a caller that leaves a starting host ends its request")
{
    relay_fixture fixture;
    auto& upstream = fixture.add("i-1", "ledger", done);
    auto const table = std::exchange(fixture.context.table, nullptr);
    auto const caller = fixture.send(relay_fixture::request("/book/"));
    fixture.run_for(40ms);
    caller->stream->close();
    fixture.run_for(40ms);
    fixture.context.table = table;
    fixture.run_for(60ms);
    CHECK(upstream.requests.empty());
    CHECK(fixture.outcomes == std::vector<std::string>{"left"});
}
