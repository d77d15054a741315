#include "proxy/relay_fixture.hpp"
#include "proxy/reluctant_reader.hpp"

#include <doctest/doctest.h>

namespace caperjunction::test {
namespace {

/// More than a connection's buffers hold, and less than is held for a slow
/// caller besides.
constexpr std::size_t large_body = 400'000;

/// Sends a request for a large answer with `more` headers, and waits until the
/// answer has ended, most of it unsent.
void ask_for_large(relay_fixture& site,
                   reluctant_reader const& caller,
                   std::string const& more = "Connection: close\r\n")
{
    site.add("i-1", "ledger", [](received const&) -> script {
        return {sound(std::string(large_body, 'x'))};
    });
    caller.send(relay_fixture::request("/book/", "a1", more));
    REQUIRE(site.run_until([&site] {
        return !site.reports.empty();
    }));
    REQUIRE(site.reports.back().outcome == "served");
    REQUIRE(site.reports.back().unsent_bytes > 0);
}

} // namespace

TEST_CASE("the rest of an answer is sent however long its caller takes")
{
    relay_fixture site;
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    site.relay.serve(ends[0]);
    ask_for_large(site, caller);
    site.run_for(2'500ms);
    CHECK(site.run_until([&caller] {
        return caller.got().size() > large_body;
    }));
    REQUIRE(site.run_until([&site] {
        return !site.connections.empty();
    }));
    CHECK(site.connections.back().unsent_bytes == 0);
}

TEST_CASE("a planned stop waits for answers that are still being sent")
{
    relay_fixture site;
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    site.relay.serve(ends[0]);
    ask_for_large(site, caller);
    bool stopped = false;
    site.relay.plan_stop(site.loop.now() - 3'500ms, [&stopped] {
        stopped = true;
    });
    site.run_for(600ms);
    CHECK(!stopped);
    CHECK(site.run_until([&caller] {
        return caller.got().size() > large_body;
    }));
    CHECK(site.run_until([&stopped] {
        return stopped;
    }));
}

TEST_CASE("a caller that pauses for two seconds keeps its connection")
{
    relay_fixture site;
    constexpr std::size_t size = 16'000'000;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {sound(std::string(size, 'x'))};
    });
    auto lists = site.context.table->config();
    lists.routes[1].timeout = 10s;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const caller = site.connect();
    site.run_for(20ms);
    caller->stream->enable_reading(false);
    caller->stream->write("POST /view/x HTTP/1.1\r\nHost: desk.example\r\n"
                          "Attempt-Id: a1\r\nDeadline-Ms: 9000\r\n"
                          "Authorization: Bearer secret\r\n"
                          "Content-Length: 0\r\n\r\n");
    site.run_for(2'500ms);
    caller->stream->enable_reading(true);
    CHECK(site.run_until([&caller] {
        return caller->got.size() > size || caller->closed;
    }));
    CHECK(caller->got.size() > size);
    CHECK(!caller->closed);
}

TEST_CASE("a planned stop sends the rest of an answer on a kept connection")
{
    relay_fixture site;
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    site.relay.serve(ends[0]);
    ask_for_large(site, caller, "");
    bool stopped = false;
    site.relay.plan_stop(site.loop.now() - 3'500ms, [&stopped] {
        stopped = true;
    });
    site.run_for(1'200ms);
    CHECK(!stopped);
    CHECK(site.run_until([&caller] {
        return caller.got().size() > large_body;
    }));
    CHECK(site.run_until([&stopped] {
        return stopped;
    }));
}

TEST_CASE("the idle limit leaves an answer alone that is still being read")
{
    relay_fixture site;
    auto lists = site.context.table->config();
    lists.limits.idle_timeout = 500ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    site.relay.serve(ends[0]);
    ask_for_large(site, caller, "");
    for (int part = 0; part < 20; ++part) {
        caller.take_some();
        site.run_for(100ms);
    }
    CHECK(site.run_until([&caller] {
        return caller.got().size() > large_body;
    }));
}

TEST_CASE("a caller that is dropped while it finishes is freed")
{
    relay_fixture site;
    auto const ends = connected_pair();
    reluctant_reader const caller(ends[1]);
    auto served = std::make_shared<proxy::caller>(site.context,
                                                  [](proxy::caller const*) {});
    served->serve(ends[0]);
    ask_for_large(site, caller);
    std::weak_ptr<proxy::caller> const weak = served;
    served->abort();
    served.reset();
    site.run_for(20ms);
    CHECK(weak.expired());
}

} // namespace caperjunction::test
