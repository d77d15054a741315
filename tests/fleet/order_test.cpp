#include "fleet/orderer.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

/// Records the orders it accepts; checks fencing numbers if so configured.
struct fake_engine
{
    bool checks_fencing = false;
    fleet::fencing_number highest;
    std::vector<fleet::order> applied;

    fleet::order_end apply(fleet::order const& order)
    {
        if (checks_fencing && order.number < highest) {
            return fleet::order_end::outdated;
        }
        highest = order.number;
        applied.push_back(order);
        return fleet::order_end::done;
    }
};

/// One orderer with its own clock.
struct host
{
    host(std::string const& name, std::uint64_t generation)
        : orderer(settings_of(name, generation))
    {
    }

    static fleet::order_settings settings_of(std::string const& name,
                                             std::uint64_t generation)
    {
        fleet::order_settings settings;
        settings.host = name;
        settings.generation = generation;
        settings.loads_per_minute = 600.0;
        return settings;
    }

    std::vector<fleet::order_decision> handle(fleet::order_event const& event)
    {
        std::vector<fleet::order_decision> out;
        orderer.handle(event, now, out);
        return out;
    }

    void list(std::uint64_t revision,
              std::vector<std::string> names,
              bool checks_fencing)
    {
        handle(fleet::order_hosts_listed{revision, std::move(names)});
        handle(fleet::order_engines_listed{{{"engine", checks_fencing, {}}}});
        handle(fleet::order_hosts_confirmed{now});
    }

    /// Advances the time with a confirmed list; returns the number of orders.
    std::size_t advance(std::chrono::seconds by)
    {
        std::size_t orders = 0;
        for (auto left = by; left > 0s; left -= 1s) {
            now += 1s;
            handle(fleet::order_hosts_confirmed{now});
            orders += handle(fleet::order_tick{}).size();
        }
        return orders;
    }

    fleet::orderer orderer;
    model::time_point now{std::chrono::hours(1)};
};

fleet::order const* sent(std::vector<fleet::order_decision> const& out)
{
    for (auto const& one : out) {
        if (auto const* send = std::get_if<fleet::order_send>(&one)) {
            return &send->order;
        }
    }
    return nullptr;
}

fleet::order_requested request(std::string const& model)
{
    return {{"engine", model}, false};
}

} // namespace

TEST_CASE("a request goes to the engine's one orderer, which orders once")
{
    host a("a", 1);
    host b("b", 2);
    a.list(1, {"a", "b"}, true);
    b.list(1, {"a", "b"}, true);
    CHECK(a.orderer.is_owner("engine") != b.orderer.is_owner("engine"));
    host& owner = a.orderer.is_owner("engine") ? a : b;
    host& other = a.orderer.is_owner("engine") ? b : a;
    auto const forwarded = other.handle(request("draft"));
    REQUIRE(forwarded.size() == 1);
    CHECK(std::get<fleet::order_request_forward>(forwarded[0]).to
          == (&owner == &a ? "a" : "b"));
    owner.advance(1s);
    auto const out = owner.handle(request("draft"));
    auto const* order = sent(out);
    REQUIRE(order != nullptr);
    CHECK(order->number == fleet::fencing_number{1, &owner == &a ? 1U : 2U});
    CHECK(sent(owner.handle(request("draft"))) == nullptr);
}

TEST_CASE("two hosts order an engine that checks fencing numbers")
{
    // A host is paused while it is removed from the list, and resumes with its
    // old list confirmed by a stale service. Without fencing numbers the engine
    // would load the older model over the newer one.
    fake_engine engine{true, {}, {}};
    host old("a", 1);
    old.list(1, {"a"}, true);
    old.advance(1s);
    old.handle(request("old"));
    host next("b", 2);
    next.list(2, {"b"}, true);
    next.now = old.now;
    next.advance(1s);
    auto const out = next.handle(request("new"));
    REQUIRE(sent(out) != nullptr);
    CHECK(engine.apply(*sent(out)) == fleet::order_end::done);
    fleet::order const late{"engine", "old", {1, 1}};
    REQUIRE(old.orderer.may_send(late, old.now));
    CHECK(engine.apply(late) == fleet::order_end::outdated);
    REQUIRE(engine.applied.size() == 1);
    CHECK(engine.applied[0].model == "new");
}

TEST_CASE("two hosts order an engine that ignores fencing numbers")
{
    // The old orderer is paused with a pending order until the new one has sent
    // its own. The engine applies whatever arrives last, so the old orderer
    // must not send.
    host old("a", 1);
    old.list(1, {"a"}, false);
    old.advance(31s);
    fleet::order const late{"engine", "old", {1, 1}};
    REQUIRE(sent(old.handle(request("old"))) != nullptr);
    CHECK(old.orderer.may_send(late, old.now));

    host next("b", 2);
    next.now = old.now;
    next.list(2, {"b"}, false);
    next.handle(request("new"));
    fleet::order const order{"engine", "new", {2, 2}};
    CHECK(next.advance(29s) == 0);
    CHECK_FALSE(next.orderer.may_send(order, next.now));
    CHECK(next.advance(1s) == 1);
    CHECK(next.orderer.may_send(order, next.now));

    SUBCASE("and resumes")
    {
        old.now += 30s;
        CHECK_FALSE(old.orderer.may_send(late, old.now));
    }
    SUBCASE("and was running, but cut off from the list")
    {
        for (int second = 0; second < 11; ++second) {
            old.now += 1s;
            old.handle(fleet::order_tick{});
        }
        CHECK_FALSE(old.orderer.may_send(late, old.now));
    }
}

TEST_CASE("an order that waited while its engine moved twice is not sent")
{
    // The engine's connection is slow. Meanwhile the engine moves to another
    // host and back, and the waiting order is older than that host's.
    host one("a", 1);
    one.list(1, {"a"}, false);
    one.advance(31s);
    auto const out = one.handle(request("old"));
    REQUIRE(sent(out) != nullptr);
    fleet::order const late = *sent(out);
    one.list(2, {"b"}, false);
    one.list(3, {"a"}, false);
    one.advance(31s);
    CHECK_FALSE(one.orderer.may_send(late, one.now));
}

TEST_CASE("the takeover delay outlasts every order of the previous orderer")
{
    fleet::order_settings const settings;
    CHECK(settings.takeover_delay > settings.lease + settings.delivery_timeout);
}

TEST_CASE("an engine gets no second order within the minimum interval")
{
    // Otherwise demand that oscillates between two models would keep an engine
    // loading weights and never serving.
    host one("a", 1);
    one.list(1, {"a"}, true);
    one.advance(1s);
    REQUIRE(sent(one.handle(request("x"))) != nullptr);
    one.handle(fleet::order_ended{"engine", fleet::order_end::done});
    std::size_t orders = 0;
    for (int second = 0; second < 59; ++second) {
        orders += one.advance(1s);
        orders +=
            sent(one.handle(request(second % 2 == 0 ? "y" : "x"))) ? 1 : 0;
    }
    CHECK(orders == 0);
    CHECK(one.advance(1s) == 1);
}

TEST_CASE("the weights store's rate limits the orders of all hosts together")
{
    // Every engine is requested to load another model at the same time. Each
    // load above the rate slows all loads down.
    fleet::order_settings settings;
    settings.host = "a";
    settings.generation = 1;
    settings.loads_per_minute = 6.0;
    fleet::orderer orderer(settings);
    model::time_point now{std::chrono::hours(1)};
    std::vector<fleet::order_decision> out;
    std::vector<fleet::ordered_engine> engines;
    engines.reserve(100);
    for (int index = 0; index < 100; ++index) {
        engines.push_back({"engine-" + std::to_string(index), true, {}});
    }
    orderer.handle(fleet::order_hosts_listed{1, {"a"}}, now, out);
    orderer.handle(fleet::order_engines_listed{engines}, now, out);
    orderer.handle(fleet::order_hosts_confirmed{now}, now, out);
    for (int second = 0; second < 600; ++second) {
        now += 1s;
        for (auto const& engine : engines) {
            orderer.handle(
                fleet::order_requested{{engine.name, "draft"}, false},
                now,
                out);
        }
    }
    CHECK(out.size() >= 59);
    CHECK(out.size() <= 60);
}

TEST_CASE("a stopping host and a host after a pause send no orders")
{
    host one("a", 1);
    one.list(1, {"a"}, true);
    one.advance(1s);
    SUBCASE("stopping")
    {
        one.handle(fleet::order_stop_planned{});
        CHECK(sent(one.handle(request("draft"))) == nullptr);
    }
    SUBCASE("after a pause")
    {
        one.now += 60s;
        CHECK(sent(one.handle(request("draft"))) == nullptr);
        one.handle(fleet::order_hosts_confirmed{one.now});
        CHECK(sent(one.handle(fleet::order_tick{})) != nullptr);
    }
}
