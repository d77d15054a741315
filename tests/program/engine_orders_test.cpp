#include "program/engine_orders.hpp"

#include "runtime/log_line.hpp"
#include "runtime/manual_clock.hpp"
#include "stand_ins/engine.hpp"

#include <doctest/doctest.h>
#include <event2/event.h>

#include <chrono>
#include <string>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

/// Orders of one host to one engine that checks fencing numbers.
struct ordering_host
{
    explicit ordering_host(std::vector<std::string> const& names)
        : loop(time.as_clock())
        , engine(loop.base(), checking())
        , orders(loop,
                 "host-1",
                 std::uint64_t{7} << 32U,
                 [this](std::string const& to,
                        fleet::order_request const& request) {
                     forwarded.push_back(to + " " + request.model);
                 })
    {
        runtime::set_log_sink([](std::string_view /*line*/) {});
        model::host_list hosts;
        hosts.revision = 3;
        for (std::string const& name : names) {
            hosts.members.push_back({name, "west", "west-a", {}, {}, false});
        }
        orders.set_hosts(hosts);
        orders.confirm_hosts(loop.now());
        model::upstream_list upstreams;
        upstreams.engines.push_back(
            {"engine-1", "west", "west-a", engine.address(), {"drafter"}});
        upstreams.engines[0].checks_fencing = true;
        orders.set_upstreams(upstreams);
    }

    static stand_ins::engine_settings checking()
    {
        stand_ins::engine_settings settings;
        settings.checks_fencing = true;
        return settings;
    }

    /// Runs until the engine has received the first order. A host waits ten
    /// seconds before the first load, because the store of weights is shared.
    bool run_until_ordered()
    {
        for (int step = 0; step < 1000; ++step) {
            time.advance(100ms);
            orders.confirm_hosts(loop.now());
            orders.tick();
            loop.poll();
        }
        auto const limit = std::chrono::steady_clock::now() + 10s;
        while (engine.counters().orders_taken == 0
               && std::chrono::steady_clock::now() < limit) {
            event_base_loop(loop.base(), EVLOOP_NONBLOCK);
        }
        return engine.counters().orders_taken == 1;
    }

    runtime::manual_clock time;
    runtime::event_loop loop;
    stand_ins::engine engine;
    std::vector<std::string> forwarded;
    program::engine_orders orders;
};

} // namespace

TEST_CASE("a request becomes one order that the engine accepts")
{
    ordering_host host({"host-1"});
    host.orders.request({"engine-1", "reader"}, false);
    CHECK(host.run_until_ordered());
    CHECK(host.forwarded.empty());
    host.orders.request({"engine-1", "reader"}, false);
    host.orders.tick();
    CHECK(host.engine.counters().orders_refused == 0);
}

// Every host sees the same load and makes the same requests. If each host sent
// its own orders, an engine would switch between models repeatedly.
TEST_CASE("a request goes to the one host that owns the engine's orders")
{
    std::vector<std::string> names;
    for (int number = 1; number <= 7; ++number) {
        names.push_back("host-" + std::to_string(number));
    }
    ordering_host host(names);
    host.orders.request({"engine-1", "reader"}, false);
    bool const own = host.forwarded.empty();
    if (own) {
        CHECK(host.run_until_ordered());
    } else {
        REQUIRE(host.forwarded.size() == 1);
        CHECK(host.forwarded[0] != "host-1 reader");
        CHECK(host.engine.counters().orders_taken == 0);
    }
}
