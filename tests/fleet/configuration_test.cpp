#include "tests/fleet/fleet_fixture.hpp"

#include "fleet/configuration.hpp"
#include "fleet/delta_chain.hpp"
#include "fleet/hashing.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace caperjunction;
using namespace caperjunction::tests;
using fleet::published_value;

namespace {

std::uint64_t in_force(bench::virtual_fleet& fleet,
                       std::string const& name,
                       published_value value)
{
    return fleet.host(name).agent->in_force()[value];
}

bool in_force_on_all(bench::virtual_fleet& fleet,
                     published_value value,
                     std::uint64_t revision)
{
    return std::all_of(
        seven.begin(), seven.end(), [&](std::string const& name) {
            return fleet.host(name).agent == nullptr
                   || in_force(fleet, name, value) == revision;
        });
}

/// Returns whether no host ever put a lower revision in force.
bool never_reverted(bench::virtual_fleet& fleet)
{
    for (std::string const& name : seven) {
        for (auto const& history : fleet.host(name).in_force) {
            if (!std::is_sorted(history.begin(), history.end())) {
                return false;
            }
        }
    }
    return true;
}

} // namespace

TEST_CASE("a change is in force on seven hosts within two seconds")
{
    auto const fleet = make_seven();
    fleet->publish(published_value::plans, "plans two pair 1");
    fleet->run_for(2s);
    CHECK(in_force_on_all(*fleet, published_value::plans, fleet->revision()));
}

TEST_CASE("an invalid list never comes into force")
{
    // An operator publishes an invalid list. The fleet must keep the last valid
    // one and report the fault.
    auto const fleet = make_seven();
    auto const good = in_force(*fleet, "a1", published_value::plans);
    fleet->publish(published_value::plans, "bad plans pair 1");
    fleet->run_for(30s);
    CHECK(in_force_on_all(*fleet, published_value::plans, good));
    REQUIRE(fleet->host("b2").refused.size() == 1);
    CHECK(fleet->host("b2").refused[0].faults[0].remedy
          == "publish a better one");
    fleet->publish(published_value::plans, "good plans pair 1");
    fleet->run_for(2s);
    CHECK(in_force_on_all(*fleet, published_value::plans, fleet->revision()));
}

TEST_CASE("two lists that belong together come into force together")
{
    // The lists are published one after the other. In between, the new plans
    // name models that no entitlement defines.
    auto const fleet = make_seven();
    auto const before = in_force(*fleet, "a1", published_value::plans);
    fleet->publish(published_value::plans, "plans pair 2");
    fleet->run_for(3s);
    CHECK(in_force_on_all(*fleet, published_value::plans, before));
    fleet->publish(published_value::entitlements, "uses pair 2");
    fleet->run_for(2s);
    CHECK(in_force_on_all(
        *fleet, published_value::entitlements, fleet->revision()));
    CHECK(
        in_force_on_all(*fleet, published_value::plans, fleet->revision() - 1));
    for (std::string const& name : seven) {
        CHECK(fleet->host(name).refused.empty());
    }
}

TEST_CASE("one broken list does not hold up the other")
{
    // The entitlements are invalid for hours. New keys in the list of plans
    // must still come into force.
    auto const fleet = make_seven();
    fleet->publish(published_value::entitlements, "bad uses pair 1");
    fleet->run_for(3s);
    fleet->publish(published_value::plans, "plans three pair 1");
    fleet->run_for(3s);
    CHECK(in_force_on_all(*fleet, published_value::plans, fleet->revision()));
}

TEST_CASE("a host that starts while the service is down reads from its peers")
{
    // The service is down for an hour, and a host is replaced meanwhile. It
    // knows only its seed peers and must get its lists from them.
    auto const fleet = make_seven();
    fleet->publish(published_value::plans, "plans four pair 1");
    fleet->run_for(5s);
    fleet->service().set_down(true);
    fleet->crash("a2");
    fleet->run_for(1'800s);
    fleet->start("a2");
    model::host_list seeds;
    seeds.members = {fleet->host("b1").host, fleet->host("b2").host};
    fleet->inject_event("a2", fleet::hosts_listed{seeds});
    CHECK_FALSE(fleet->host("a2").agent->ready());
    fleet->run_for(10s);
    CHECK(fleet->host("a2").agent->ready());
    CHECK(in_force(*fleet, "a2", published_value::plans) == fleet->revision());
    CHECK(fleet->host("a2").agent->view()->live().size() == 7);
}

TEST_CASE("a host that starts with a stale service is not ready with it")
{
    // The service answers with lists of last week while the other hosts hold
    // today's. A host that accepted callers with the old ones would refuse keys
    // that work on all other hosts.
    auto const fleet = make_seven();
    fleet->service().freeze();
    fleet->service().thaw();
    fleet->publish(published_value::plans, "plans five pair 1");
    fleet->run_for(5s);
    auto const newest = fleet->revision();
    fleet->service().restore_frozen();
    fleet->crash("b3");
    fleet->run_for(1s);
    fleet->start("b3");
    fleet->run_for(10s);
    CHECK(fleet->host("b3").agent->ready());
    CHECK(in_force(*fleet, "b3", published_value::plans) == newest);
}

TEST_CASE("a host that is cut off from all peers still reads the service")
{
    // A host is cut off from every peer but not from the service. It must
    // detect the silence and poll the service itself, at a bounded rate.
    auto const fleet = make_seven();
    for (std::string const& name : seven) {
        if (name != "a1") {
            fleet->cut(name, "a1");
            fleet->cut("a1", name);
        }
    }
    fleet->run_for(20s);
    fleet->publish(published_value::plans, "plans six pair 1");
    auto const calls = fleet->service().calls;
    fleet->run_for(10s);
    CHECK(in_force_on_all(*fleet, published_value::plans, fleet->revision()));
    CHECK(fleet->service().calls - calls < 7 * 4 * 10);
}

TEST_CASE("a change is found although no watcher reaches the service")
{
    // Only the routes from the watchers to the service break. Peers still
    // exchange messages, so no silence is detected. Without direct reads the
    // fleet would keep its old lists until an operator intervenes.
    auto const fleet = make_seven();
    for (auto const& waiting : fleet->service().watches()) {
        fleet->service().unreachable_from.insert(waiting.host);
    }
    REQUIRE(fleet->service().unreachable_from.size() == 4);
    fleet->publish(published_value::plans, "plans seven pair 1");
    fleet->run_for(13s);
    CHECK(in_force_on_all(*fleet, published_value::plans, fleet->revision()));
}

TEST_CASE("a service that is down is polled at a bounded rate")
{
    // Every host sees the service fail at the same time. Immediate retries
    // would keep the service from recovering.
    auto const fleet = make_seven();
    fleet->service().set_down(true);
    fleet->run_for(5s);
    auto const calls = fleet->service().calls;
    fleet->run_for(100s);
    CHECK(fleet->service().calls - calls < 7 * 4 * 100);
    fleet->service().set_down(false);
    fleet->publish(published_value::upstreams, "upstreams 2");
    fleet->run_for(4s);
    CHECK(
        in_force_on_all(*fleet, published_value::upstreams, fleet->revision()));
}

TEST_CASE("a stale service is polled at a bounded rate")
{
    // The service answers each watch immediately with a revision lower than the
    // watched one. Immediate retries would poll it as fast as the network
    // allows.
    auto const fleet = make_seven();
    fleet->service().freeze();
    fleet->service().thaw();
    fleet->publish(published_value::plans, "plans eight pair 1");
    fleet->run_for(5s);
    fleet->service().restore_frozen();
    fleet->service().returns_lower_revision = true;
    fleet->publish(published_value::upstreams, "upstreams 3");
    auto const calls = fleet->service().calls;
    fleet->run_for(100s);
    CHECK(fleet->service().calls - calls < 3'000);
}

TEST_CASE("a host that starts with an invalid list gets the last valid one")
{
    // The service holds an invalid list, and only peers have the one before.
    // Without it a starting host would never be ready, and a replacement of all
    // hosts would lose the last valid list.
    auto const fleet = make_seven();
    fleet->publish(published_value::plans, "plans nine pair 1");
    fleet->run_for(3s);
    auto const good = fleet->revision();
    fleet->publish(published_value::plans, "bad plans");
    fleet->run_for(3s);
    fleet->crash("a3");
    fleet->run_for(5s);
    fleet->start("a3");
    fleet->run_for(10s);
    CHECK(fleet->host("a3").agent->ready());
    CHECK(in_force(*fleet, "a3", published_value::plans) == good);
}

TEST_CASE("a fallback revision never comes back into force")
{
    // A host fetches revision 3 because 5 is invalid. Revision 6 is valid, and
    // 7 is invalid again. Falling back to 3 would accept withdrawn keys.
    fleet::configuration_settings settings;
    settings.host = "a1";
    settings.region = "a";
    settings.check = bench::check_by_keywords;
    fleet::configuration values(settings);
    std::vector<fleet::agent_output> out;
    model::time_point const now{std::chrono::hours(1)};
    auto const read = [&](published_value value,
                          std::uint64_t revision,
                          std::string const& text) {
        auto const body = std::make_shared<std::string const>(text);
        values.handle(fleet::value_read{value, revision, body}, now, out);
    };
    read(published_value::entitlements, 1, "pair 1");
    read(published_value::plans, 5, "bad pair 1");
    fleet::config_value third;
    third.value = published_value::plans;
    third.revision = 3;
    third.body = std::make_shared<std::string const>("third pair 1");
    third.hash = fleet::hash_text(*third.body);
    values.handle(fleet::message_received{"a2", third}, now, out);
    CHECK(values.announcement().in_force[published_value::plans] == 3);
    read(published_value::plans, 6, "sixth pair 1");
    CHECK(values.announcement().in_force[published_value::plans] == 6);
    read(published_value::plans, 7, "bad pair 1");
    CHECK(values.announcement().in_force[published_value::plans] == 6);
}

TEST_CASE("deltas rebuild any body from any earlier one")
{
    CHECK(rc::check("deltas lead from each revision to the last", [] {
        auto const bodies = *rc::gen::nonEmpty<std::vector<std::string>>();
        fleet::delta_chain chain;
        chain.append(1, {}, 1U << 20U);
        for (std::size_t index = 1; index < bodies.size(); ++index) {
            auto const change =
                fleet::make_delta(bodies[index - 1], bodies[index], index + 1);
            chain.append(index, {change}, 1U << 20U);
        }
        for (std::size_t index = 0; index + 1 < bodies.size(); ++index) {
            auto const deltas = chain.since(index + 1, 1U << 20U);
            RC_ASSERT(deltas.has_value());
            std::string body = bodies[index];
            RC_ASSERT(fleet::apply_deltas(*deltas, body));
            RC_ASSERT(body == bodies.back());
        }
    }));
}

TEST_CASE("no history of faults makes a host revert or stay behind")
{
    // Valid and invalid lists are published while hosts crash, pause and lose
    // their links, and the service is down or stale. A host that reverted would
    // accept withdrawn keys; one that stayed behind would refuse a customer
    // that all others serve.
    CHECK(rc::check("revisions only grow and end equal", [] {
        auto const fleet = make_seven();
        auto const steps = *rc::gen::inRange(1, 14);
        for (int step = 0; step < steps; ++step) {
            auto const name = *rc::gen::elementOf(seven);
            auto const other = *rc::gen::elementOf(seven);
            auto const value = static_cast<published_value>(
                *rc::gen::inRange<int>(0, 4) == 3
                    ? 3
                    : *rc::gen::inRange<int>(0, 2));
            auto const number = std::to_string(step);
            switch (*rc::gen::inRange(0, 10)) {
            case 0:
                fleet->publish(value, number + " bad pair 1");
                break;
            case 1:
            case 2:
                fleet->publish(value, number + " pair 1");
                break;
            case 3:
                fleet->crash(name);
                break;
            case 4:
                if (fleet->host(name).agent == nullptr) {
                    fleet->start(name);
                    for (auto& history : fleet->host(name).in_force) {
                        history.clear();
                    }
                }
                break;
            case 5:
                fleet->pause(name);
                break;
            case 6:
                fleet->resume(name);
                break;
            case 7:
                fleet->cut(name, other);
                break;
            case 8:
                fleet->service().set_down(!fleet->service().down());
                break;
            default:
                *rc::gen::inRange(0, 2) == 0 ? fleet->service().freeze()
                                             : fleet->service().thaw();
                break;
            }
            fleet->run_for(model::milliseconds(*rc::gen::inRange(1, 6'000)));
        }
        RC_ASSERT(never_reverted(*fleet));
        fleet->heal_all();
        fleet->service().set_down(false);
        fleet->service().thaw();
        for (std::string const& name : seven) {
            fleet->resume(name);
        }
        fleet->publish(published_value::entitlements, "last pair 1");
        fleet->publish(published_value::plans, "last pair 1");
        fleet->run_for(30s);
        RC_ASSERT(never_reverted(*fleet));
        RC_ASSERT(
            in_force_on_all(*fleet, published_value::plans, fleet->revision()));
        RC_ASSERT(in_force_on_all(
            *fleet, published_value::entitlements, fleet->revision() - 1));
    }));
}
