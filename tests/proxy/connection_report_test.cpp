#include "proxy/relay_fixture.hpp"

#include <doctest/doctest.h>

namespace caperjunction::test {
namespace {

using proxy::connection_end;

scripted_upstream& add_slow(relay_fixture& site)
{
    return site.add("i-1", "ledger", [](received const&) -> script {
        return {stream_head() + chunk("id: 1\ndata: a\n\n"),
                false,
                false,
                chunk("id: 2\ndata: b\n\n"),
                500ms};
    });
}

std::shared_ptr<plain_client> begin_stream(relay_fixture& site)
{
    auto made = site.send(relay_fixture::request("/stream/"));
    REQUIRE(site.run_until([&made] {
        return made->got.find("data: a") != std::string::npos;
    }));
    return made;
}

} // namespace

TEST_CASE("a caller that closes in the middle of an answer is named")
{
    relay_fixture site;
    add_slow(site);
    auto const caller = begin_stream(site);
    caller->stream->close();
    REQUIRE(site.run_until([&site] {
        return !site.reports.empty();
    }));
    CHECK(site.reports.back().ended_by == "closed");
    REQUIRE(site.connections.size() == 1);
    CHECK(site.connections.back().end == connection_end::closed);
    CHECK(site.connections.back().activity == "serving");
    CHECK(!site.connections.back().is_loss());
}

TEST_CASE("a caller that resets in the middle of an answer is named")
{
    relay_fixture site;
    add_slow(site);
    auto const caller = begin_stream(site);
    caller->stream->reset();
    REQUIRE(site.run_until([&site] {
        return !site.reports.empty();
    }));
    CHECK(site.reports.back().ended_by == "reset");
}

TEST_CASE("a connection that is cut with its answer is named as this host's")
{
    relay_fixture site;
    add_slow(site);
    auto const caller = begin_stream(site);
    site.relay.plan_stop(site.loop.now() - 7'700ms, [] {});
    REQUIRE(site.run_until([&caller] {
        return caller->closed;
    }));
    REQUIRE(site.connections.size() == 1);
    CHECK(site.connections.back().end == connection_end::own_close);
    CHECK(site.connections.back().activity == "serving");
    CHECK(site.connections.back().is_loss());
}

TEST_CASE("an answer that ends a connection leaves nothing behind")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {sound("done")};
    });
    auto const caller = site.send(
        relay_fixture::request("/book/", "a1", "Connection: close\r\n"));
    REQUIRE(site.run_until([&caller] {
        return caller->closed;
    }));
    caller->stream->close();
    REQUIRE(site.run_until([&site] {
        return !site.connections.empty();
    }));
    CHECK(site.connections.back().activity == "finishing");
    CHECK(site.connections.back().end == connection_end::closed);
    CHECK(!site.connections.back().is_loss());
    CHECK(site.reports.back().ended_by.empty());
    CHECK(site.reports.back().since_stop < 0ms);
}

} // namespace caperjunction::test
