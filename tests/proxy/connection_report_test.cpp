#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

namespace caperjunction::test {
namespace {

using proxy::connection_end;

scripted_upstream& add_slow_upstream(relay_fixture& fixture)
{
    return fixture.add("i-1", "ledger", [](received const&) -> script {
        return {stream_head() + chunk("id: 1\ndata: a\n\n"),
                false,
                false,
                chunk("id: 2\ndata: b\n\n"),
                500ms};
    });
}

std::shared_ptr<plain_client> start_stream(relay_fixture& fixture)
{
    auto result = fixture.send(relay_fixture::request("/stream/"));
    REQUIRE(fixture.run_until([&result] {
        return result->received_bytes.find("data: a") != std::string::npos;
    }));
    return result;
}

} // namespace

TEST_CASE("a caller that closes during an answer is reported")
{
    relay_fixture fixture;
    add_slow_upstream(fixture);
    auto const caller = start_stream(fixture);
    caller->stream->close();
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.reports.empty();
    }));
    CHECK(fixture.reports.back().ended_by == "closed");
    REQUIRE(fixture.connections.size() == 1);
    CHECK(fixture.connections.back().end == connection_end::closed);
    CHECK(fixture.connections.back().activity == "serving");
    CHECK(!fixture.connections.back().is_loss());
}

TEST_CASE("a caller that resets during an answer is reported")
{
    relay_fixture fixture;
    add_slow_upstream(fixture);
    auto const caller = start_stream(fixture);
    caller->stream->reset();
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.reports.empty();
    }));
    CHECK(fixture.reports.back().ended_by == "reset");
}

TEST_CASE("a connection cut off during an answer is reported as closed here")
{
    relay_fixture fixture;
    add_slow_upstream(fixture);
    auto const caller = start_stream(fixture);
    fixture.relay.plan_stop(fixture.loop.now() - 7'700ms, [] {});
    REQUIRE(fixture.run_until([&caller] {
        return caller->closed;
    }));
    REQUIRE(fixture.connections.size() == 1);
    CHECK(fixture.connections.back().end == connection_end::own_close);
    CHECK(fixture.connections.back().activity == "serving");
    CHECK(fixture.connections.back().is_loss());
}

TEST_CASE("a connection that ends after its answer is reported without loss")
{
    relay_fixture fixture;
    fixture.add("i-1", "ledger", [](received const&) -> script {
        return {valid_answer("done")};
    });
    auto const caller = fixture.send(
        relay_fixture::request("/book/", "a1", "Connection: close\r\n"));
    REQUIRE(fixture.run_until([&caller] {
        return caller->closed;
    }));
    caller->stream->close();
    REQUIRE(fixture.run_until([&fixture] {
        return !fixture.connections.empty();
    }));
    CHECK(fixture.connections.back().activity == "finishing");
    CHECK(fixture.connections.back().end == connection_end::closed);
    CHECK(!fixture.connections.back().is_loss());
    CHECK(fixture.reports.back().ended_by.empty());
    CHECK(fixture.reports.back().since_stop < 0ms);
}

} // namespace caperjunction::test
