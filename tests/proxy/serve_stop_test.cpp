#include "proxy/serve_relay.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>

using namespace caperjunction;
using namespace caperjunction::test;

namespace {

script answer_late(received const&)
{
    return {"",
            false,
            false,
            "HTTP/1.1 200 OK\r\nContent-Length: 4"
            "\r\n\r\ndone",
            300ms};
}

/// A caller that keeps its connection.
struct keeping_caller
{
    explicit keeping_caller(serve_relay& host)
        : stream(proxy::tcp_stream::connect(host.loop,
                                            {"127.0.0.1", host.relay.port()},
                                            1'000ms,
                                            {nullptr,
                                             [this](std::string_view bytes) {
                                                 received_bytes.append(bytes);
                                             },
                                             [this](proxy::connection_end) {
                                                 closed = true;
                                             },
                                             nullptr}))
    {
    }

    void ask() const
    {
        stream->write(std::string("GET /services/ledger/x HTTP/1.1\r\n"
                                  "Host: h\r\nAuthorization: Bearer ")
                      + stand_ins::site_key + "\r\n\r\n");
    }

    bool has(std::string const& text) const
    {
        return received_bytes.find(text) != std::string::npos;
    }

    std::string received_bytes;
    bool closed = false;
    std::shared_ptr<proxy::tcp_stream> stream;
};

template <typename Done>
bool run_until(serve_relay& host, Done done)
{
    auto const limit = host.loop.now() + 3s;
    while (!done() && host.loop.now() < limit) {
        host.loop.run_once();
    }
    return done();
}

} // namespace

// Guards against requests that a host of `serve` takes on kept connections
// while it stops: one that never has nothing to do is cut at its limit.
TEST_CASE("a host of serve that stops closes kept connections with an answer")
{
    serve_relay host(answer_late);
    keeping_caller caller(host);
    caller.ask();
    REQUIRE(run_until(host, [&caller] {
        return caller.has("done");
    }));
    CHECK(!caller.closed);
    caller.received_bytes.clear();
    keeping_caller busy(host);
    busy.ask();
    REQUIRE(run_until(host, [&host] {
        return host.relay.running() == 1;
    }));
    net::relay_message stop = net::stop_accepting{};
    host.relay.handle(stop);
    caller.ask();
    CHECK(run_until(host, [&caller] {
        return caller.has("done") && caller.closed;
    }));
    CHECK(caller.has("Connection: close"));
}

// Guards against a request that is passed on after the host has said that none
// is left, and is cut when its process ends.
TEST_CASE("a host of serve takes no request once it is about to end")
{
    serve_relay host(answer_late);
    keeping_caller caller(host);
    caller.ask();
    REQUIRE(run_until(host, [&caller] {
        return caller.has("done");
    }));
    host.tell(net::stop_accepting{});
    REQUIRE(run_until(host, [&host] {
        return host.is_idle;
    }));
    std::size_t const passed_on = host.service.requests.size();
    caller.received_bytes.clear();
    caller.ask();
    CHECK(run_until(host, [&caller] {
        return caller.closed;
    }));
    CHECK(caller.has("HTTP/1.1 503"));
    CHECK(caller.has("not-run"));
    CHECK(host.service.requests.size() == passed_on);
}
