#include "proxy/http_get.hpp"

#include "proxy/scripted_upstream.hpp"
#include "runtime/manual_clock.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

using namespace caperjunction;
using namespace caperjunction::test;
using namespace std::chrono_literals;

namespace {

std::string const endless_body =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A client and a server with one answer.
struct get_fixture
{
    explicit get_fixture(script const& plan, runtime::clock clock = {})
        : loop(std::move(clock))
        , server(loop, [this, plan](received const&) {
            if (on_request) {
                on_request();
            }
            return plan;
        })
    {
        request.at = server.at();
        request.target = "/";
        request.max_body_bytes = 1'000'000;
        request.slow_start = 400ms;
    }

    void start()
    {
        client.start(request,
                     {[this](int, std::string const&) {
                          outcome = "answered";
                      },
                      [this](std::string_view reason) {
                          outcome = reason;
                      }});
    }

    /// Returns how the request ended, once the server knows of an end as well.
    std::string run()
    {
        start();
        // Far above what it takes on a busy machine.
        auto const limit = loop.now() + 60s;
        while ((outcome.empty() || server.connections_ended == 0)
               && loop.now() < limit) {
            loop.run_once();
        }
        return outcome;
    }

    runtime::event_loop loop;
    std::function<void()> on_request;
    scripted_upstream server;
    proxy::get_request request;
    proxy::http_get client{loop};
    std::string outcome;
};

script endless(std::string const& begin,
               std::string const& bytes,
               model::milliseconds delay = 0ms)
{
    script plan{begin};
    plan.endless = bytes;
    plan.delay = delay;
    return plan;
}

} // namespace

// Guards against a store, or another host, that fills the memory of a host.
TEST_CASE("a document without end is given up at a limit")
{
    get_fixture fixture(endless(endless_body, "1\r\nx\r\n"));
    CHECK(fixture.run() == "too_long");
    CHECK(fixture.server.connections_ended == 1);
    CHECK(fixture.client.progress().bytes <= 1'100'000);
}

TEST_CASE("a head and a chunk size without end are given up")
{
    std::string const zeros(4'096, '0');
    for (script const& plan : {endless("HTTP/1.1 200 OK\r\nX: ", zeros),
                               endless(endless_body, zeros)}) {
        get_fixture fixture(plan);
        CHECK(fixture.run() == "broken");
        CHECK(fixture.server.connections_ended == 1);
    }
}

// Guards against a reader that no other host is asked for, since a byte now and
// then keeps it busy.
TEST_CASE("a document that trickles without end is given up")
{
    get_fixture fixture(endless(endless_body, "1\r\nx\r\n", 20ms));
    CHECK(fixture.run() == "slow");
    CHECK(fixture.server.connections_ended == 1);
}

// Guards against a host that was frozen and drops the reader, or the peer, that
// had long answered it.
TEST_CASE("a reader that was held up does not call the document slow")
{
    runtime::manual_clock clock;
    script plan{"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n"};
    plan.remainder = std::string(3'000, 'x');
    plan.piece_bytes = 300;
    plan.delay = 10ms;
    get_fixture fixture(plan, clock.as_clock());
    fixture.on_request = [&clock] {
        clock.advance(600ms);
    };
    fixture.start();
    for (int i = 0; i < 2'000 && fixture.outcome.empty(); ++i) {
        fixture.loop.poll();
        clock.advance(1ms);
    }
    CHECK(fixture.outcome == "answered");
}

// Guards against a watch without news that counts as a failure of the store.
TEST_CASE("an answer that is awaited for long is not slow")
{
    script plan;
    plan.remainder = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    plan.delay = 600ms;
    get_fixture fixture(plan);
    fixture.server.connections_ended = 1;
    CHECK(fixture.run() == "answered");
}

TEST_CASE("a document that is slow but comes is taken")
{
    script plan{"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n"};
    plan.remainder = std::string(3'000, 'x');
    plan.piece_bytes = 300;
    plan.delay = 100ms;
    get_fixture fixture(plan);
    fixture.server.connections_ended = 1;
    CHECK(fixture.run() == "answered");
}
