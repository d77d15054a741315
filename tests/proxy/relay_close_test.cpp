#include "proxy/relay_fixture.hpp"
#include "proxy/reluctant_reader.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace caperjunction::test {
namespace {

script answers_done(received const&)
{
    return {sound("done")};
}

} // namespace

TEST_CASE("a request that has come is served before its connection is closed")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    auto const ends = connected_pair();
    reluctant_reader caller(ends[1]);
    bool closed = false;
    auto const served = std::make_shared<proxy::caller>(
        site.context, [&closed](proxy::caller const*) {
            closed = true;
        });
    served->serve(ends[0]);
    caller.send(relay_fixture::request("/book/"));
    served->close_if_idle(0ms);
    CHECK(site.run_until([&caller] {
        return caller.got().find("done") != std::string::npos;
    }));
    CHECK(!closed);
    served->abort();
}

TEST_CASE("a request that crosses the close of its connection stays unread")
{
    relay_fixture site;
    auto lists = site.context.table->config();
    lists.limits.idle_timeout = 50ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const ends = connected_pair();
    reluctant_reader const caller(ends[1]);
    site.relay.serve(ends[0]);
    REQUIRE(site.run_until([&site] {
        return !site.connections.empty();
    }));
    CHECK(site.connections.back().end == proxy::connection_end::own_close);
    CHECK(!caller.can_send(relay_fixture::request("/book/")));
}

TEST_CASE("a shorter idle limit holds from a connection's next answer on")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    auto const caller = site.send(relay_fixture::request("/book/"));
    REQUIRE(site.run_until([&caller] {
        return caller->got.find("done") != std::string::npos;
    }));
    auto lists = site.context.table->config();
    lists.limits.idle_timeout = 1ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    site.run_for(400ms);
    CHECK(!caller->closed);
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    CHECK(site.run_until([&caller] {
        return caller->closed;
    }));
    CHECK(site.reports.size() == 2);
}

TEST_CASE("a stopping host waits for the first request of a new connection")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    bool stopped = false;
    site.relay.plan_stop(site.loop.now() - 3'200ms, [&stopped] {
        stopped = true;
    });
    site.run_for(100ms);
    auto const caller = site.connect();
    site.run_for(300ms);
    caller->stream->write(relay_fixture::request("/book/"));
    CHECK(site.run_until([&caller] {
        return caller->got.find("done") != std::string::npos;
    }));
    CHECK(site.run_until([&stopped] {
        return stopped;
    }));
}

TEST_CASE("a stopping host keeps the connections that it has said it keeps")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const& request) -> script {
        if (request.head.target.find("/book/") == 0) {
            return {sound("done")};
        }
        return {stream_head() + chunk("id: 1\ndata: a\n\n"),
                false,
                false,
                chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n",
                300ms};
    });
    auto const caller = site.send(relay_fixture::request("/stream/"));
    REQUIRE(site.run_until([&caller] {
        return caller->got.find("data: a") != std::string::npos;
    }));
    site.relay.plan_stop(site.loop.now(), [] {});
    REQUIRE(site.run_until([&caller] {
        return caller->got.find("0\r\n\r\n") != std::string::npos;
    }));
    site.run_for(100ms);
    CHECK(!caller->closed);
    caller->stream->write(relay_fixture::request("/book/", "a2"));
    CHECK(site.run_until([&caller] {
        return caller->got.find("done") != std::string::npos;
    }));
    CHECK(caller->got.find("Connection: close") != std::string::npos);
    CHECK(site.run_until([&caller] {
        return caller->closed;
    }));
}

TEST_CASE("a request that outlasts a planned stop gets a final answer")
{
    relay_fixture site;
    site.add("i-1", "ledger", [](received const&) -> script {
        return {"", false, false, sound("late"), 3'000ms};
    });
    auto const caller = site.send(relay_fixture::request("/book/"));
    site.run_for(50ms);
    bool stopped = false;
    site.relay.plan_stop(site.loop.now() - 7'400ms, [&stopped] {
        stopped = true;
    });
    REQUIRE(site.run_until([&stopped] {
        return stopped;
    }));
    CHECK(site.context.since_stop() < 7'990ms);
    CHECK(caller->got.find("HTTP/1.1 502") == 0);
    REQUIRE(site.reports.size() == 1);
    CHECK(site.reports.back().ended_by == "own_close");
}

TEST_CASE("the parts of a pipelined request are read in their order")
{
    relay_fixture site;
    auto& ledger = site.add("i-1", "ledger", answers_done);
    auto const ends = connected_pair();
    reluctant_reader const caller(ends[1]);
    site.relay.serve(ends[0]);
    constexpr std::size_t part = 30;
    std::string const second = relay_fixture::request("/book/", "a2");
    caller.send(relay_fixture::request("/book/") + second.substr(0, part));
    REQUIRE(site.run_until([&site] {
        return !site.reports.empty();
    }));
    caller.send(second.substr(part));
    CHECK(site.run_until([&site] {
        return site.reports.size() == 2;
    }));
    CHECK(ledger.requests.size() == 2);
    CHECK(site.reports.back().status == 200);
}

TEST_CASE("a request that is here by now isn't refused as slow")
{
    relay_fixture site;
    site.add("i-1", "ledger", answers_done);
    auto lists = site.context.table->config();
    lists.limits.idle_timeout = 100ms;
    lists.limits.header_timeout = 100ms;
    site.context.table = std::make_shared<routing::route_table const>(lists);
    auto const ends = connected_pair();
    reluctant_reader const caller(ends[1]);
    auto const served = std::make_shared<proxy::caller>(
        site.context, [](proxy::caller const*) {});
    served->serve(ends[0]);
    constexpr std::size_t part = 30;
    std::string const text = relay_fixture::request("/book/");
    caller.send(text.substr(0, part));
    site.run_for(30ms);
    caller.send(text.substr(part));
    std::this_thread::sleep_for(150ms);
    served->check_timeouts();
    CHECK(site.run_until([&site] {
        return !site.reports.empty();
    }));
    CHECK(site.reports.back().outcome == "served");
    served->abort();
}

// A busy host tries again for a caller whose close it hasn't read.
TEST_CASE("a request isn't sent again when its caller has left by then")
{
    relay_fixture site;
    std::vector<std::string> asked;
    int retries = 0;
    site.context.on_retried = [&retries](proxy::exchange_report const&) {
        ++retries;
    };
    auto const ends = connected_pair();
    auto caller = std::make_unique<reluctant_reader>(ends[1]);
    auto const note = [&](received const& request) -> script {
        asked.push_back(*request.head.find("Attempt-Id"));
        if (asked.back() == "busy") {
            // The time for the other request's answer runs out meanwhile.
            caller.reset();
            std::this_thread::sleep_for(150ms);
        }
        return {};
    };
    site.add("i-1", "ledger", note);
    site.add("i-2", "ledger", note);
    std::function<void()> always = [&] {
        site.loop.defer(always);
    };
    site.loop.defer(always);
    site.relay.serve(ends[0]);
    caller->send(relay_fixture::request("/view/", "left"));
    REQUIRE(site.run_until([&asked] {
        return !asked.empty();
    }));
    auto const other = site.send(relay_fixture::request("/book/", "busy"));
    REQUIRE(site.run_until([&site] {
        return !site.reports.empty();
    }));
    site.run_for(100ms);
    CHECK(site.reports.front().outcome == "left");
    CHECK(retries == 0);
}

} // namespace caperjunction::test
