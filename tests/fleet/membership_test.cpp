#include "tests/fleet/fleet_fixture.hpp"

#include "fleet/membership.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace caperjunction;
using namespace caperjunction::tests;

TEST_CASE("all hosts of a fleet without faults see each other alive")
{
    auto const fleet = make_seven();
    fleet->run_for(60s);
    CHECK(fleet->changes().empty());
    for (std::string const& name : seven) {
        CHECK(fleet->host(name).agent->view()->live().size() == 7);
        CHECK(fleet->host(name).agent->ready());
        CHECK(fleet->host(name).agent->is_view_current());
    }
}

TEST_CASE("a host that crashed is lost for all within four seconds")
{
    // A host crashes without notice, by a power failure or the out-of-memory
    // killer. Requests handed over to it would wait in vain.
    auto const fleet = make_seven();
    fleet->crash("b2");
    fleet->run_for(4s);
    for (std::string const& name : seven) {
        if (name != "b2") {
            CHECK(state_at(*fleet, name, "b2") == fleet::host_state::lost);
        }
    }
}

TEST_CASE("a host that can't be reached from one other stays alive")
{
    // By a broken route a1 receives nothing from b1, while all others do. If b1
    // were considered lost, the fleet would lose a working host, with its votes
    // and orders, because of one failed connection.
    auto const fleet = make_seven();
    fleet->cut("b1", "a1");
    fleet->run_for(60s);
    CHECK(times_lost(*fleet, "b1") == 0);
    for (std::string const& name : seven) {
        CHECK(fleet->host(name).agent->view()->live().size() == 7);
    }
    auto const view = fleet->host("a1").agent->view();
    CHECK_FALSE(view->find("b1")->reachable);
}

TEST_CASE("a report is refuted before the next heartbeat is due")
{
    // One neighbour receives nothing from a host, and the host itself receives
    // nothing at all and can't refute the report. The suspicion timeout is
    // shorter than the heartbeat period: a neighbour that waits for the next
    // heartbeat refutes too late.
    bench::virtual_fleet_settings settings;
    settings.agent.membership.heartbeat_period = 1'000ms;
    settings.agent.membership.silence_limit = 4'000ms;
    settings.agent.membership.suspicion_timeout = 300ms;
    auto const fleet = make_seven(settings);
    fleet->cut("b1", "a1");
    for (std::string const& name : seven) {
        fleet->cut(name, "b1");
    }
    fleet->run_for(120s);
    CHECK(times_lost(*fleet, "b1") == 0);
}

TEST_CASE("all hosts know of a leaving host within a second")
{
    // A host is being replaced while the platform's list still shows it as
    // live. A request handed over to it now would be interrupted by its stop.
    auto const fleet = make_seven();
    fleet->leave("a3");
    fleet->run_for(500ms);
    for (std::string const& name : seven) {
        CHECK(state_at(*fleet, name, "a3") == fleet::host_state::leaving);
    }
    // The list lags: it is published again and still shows the host as live.
    fleet->publish_hosts();
    fleet->run_for(5s);
    CHECK(state_at(*fleet, "b1", "a3") == fleet::host_state::leaving);
}

TEST_CASE("both sides of a partition keep running and merge again")
{
    // The link between the regions is down for an hour. Each side must consider
    // the other lost, and both must merge without an operator when it is
    // restored.
    auto const fleet = make_seven();
    for (std::string const left : {"a1", "a2", "a3", "a4"}) {
        for (std::string const right : {"b1", "b2", "b3"}) {
            fleet->cut(left, right);
            fleet->cut(right, left);
        }
    }
    fleet->run_for(3'600s);
    CHECK(fleet->host("a1").agent->view()->live().size() == 4);
    CHECK(fleet->host("b1").agent->view()->live().size() == 3);
    CHECK(fleet->host("b1").agent->view()->hosts.size() == 7);
    fleet->heal_all();
    fleet->run_for(15s);
    for (std::string const& name : seven) {
        CHECK(fleet->host(name).agent->view()->live().size() == 7);
    }
}

TEST_CASE("a host refreshes its view after a pause and reports no other")
{
    // A host is paused for a minute, as in a frozen virtual machine, and
    // resumes. All others seem silent to it. Reporting them, or acting by its
    // old view, would spread its own fault over the fleet.
    auto const fleet = make_seven();
    fleet->pause("a2");
    fleet->run_for(60s);
    CHECK(state_at(*fleet, "b1", "a2") == fleet::host_state::lost);
    fleet->crash("b3");
    fleet->run_for(10s);
    fleet->resume("a2");
    CHECK_FALSE(fleet->host("a2").agent->is_view_current());
    fleet->run_for(2s);
    CHECK(fleet->host("a2").agent->is_view_current());
    CHECK(state_at(*fleet, "a2", "b3") == fleet::host_state::lost);
    fleet->run_for(5s);
    CHECK(state_at(*fleet, "b1", "a2") == fleet::host_state::alive);
    for (std::string const& name : seven) {
        std::size_t const expected = name == "a2" || name == "b3" ? 1 : 0;
        CHECK((times_lost(*fleet, name) > 0) == (expected == 1));
    }
}

TEST_CASE("a host lost before a pause is not alive after it")
{
    // After a pause all silence timers are reset, so that no host is considered
    // lost because of the pause. The reset must not revive a crashed host.
    auto const fleet = make_seven();
    fleet->crash("b3");
    fleet->run_for(10s);
    fleet->pause("a2");
    fleet->run_for(10s);
    fleet->resume("a2");
    for (int step = 0; step < 50; ++step) {
        fleet->run_for(100ms);
        CHECK(state_at(*fleet, "a2", "b3") == fleet::host_state::lost);
    }
}

TEST_CASE("late updates about a previous process don't affect its successor")
{
    // A host leaves and restarts under its name while a peer is paused. The
    // peer resumes with the old "leaving" update. Without generations the new
    // process would get no work although it is ready.
    auto const fleet = make_seven();
    fleet->pause("b1");
    fleet->leave("a1");
    fleet->run_for(2s);
    fleet->crash("a1");
    fleet->run_for(1s);
    fleet->start("a1");
    fleet->run_for(10s);
    fleet->resume("b1");
    for (int step = 0; step < 100; ++step) {
        fleet->run_for(50ms);
        for (std::string const& name : seven) {
            bool const resumed_recently = name == "b1" && step < 20;
            if (!resumed_recently && name != "a1") {
                CHECK(state_at(*fleet, name, "a1") == fleet::host_state::alive);
            }
        }
    }
}

TEST_CASE("a host whose clock was set back is not ignored")
{
    // The wall clock of a replaced host is behind its predecessor's, so its
    // generation is lower. Its messages would be ignored as outdated forever.
    fleet::membership_settings settings;
    settings.self.name = "a1";
    settings.generation = 100;
    fleet::membership member(settings);
    model::host_list list;
    list.revision = 1;
    list.members.resize(2);
    list.members[0].name = "a1";
    list.members[1].name = "a2";
    std::vector<fleet::agent_output> out;
    model::time_point now{std::chrono::hours(1)};
    member.handle(fleet::hosts_listed{list}, now, out);
    fleet::membership_update earlier{"a1", 500, 0, fleet::update_kind::leaving};
    member.handle(
        fleet::message_received{"a2", fleet::membership_updates{{earlier}}},
        now,
        out);
    out.clear();
    member.handle(fleet::agent_tick{}, now, out);
    bool raised_generation = false;
    for (fleet::agent_output const& output : out) {
        auto const* sent = std::get_if<fleet::send_message>(&output);
        if (sent != nullptr) {
            auto const* beat = std::get_if<fleet::heartbeat>(&sent->message);
            raised_generation = raised_generation
                                || (beat != nullptr && beat->generation > 500);
        }
    }
    CHECK(raised_generation);
}

TEST_CASE("no history of broken routes makes a working host lost")
{
    // Single directions between hosts break and heal at random, but at least
    // three others always receive each host's heartbeats. No host may be lost.
    CHECK(rc::check("a host that three others receive is never lost", [] {
        auto const fleet = make_seven();
        auto const steps = *rc::gen::inRange(1, 8);
        for (int step = 0; step < steps; ++step) {
            auto const from = *rc::gen::elementOf(seven);
            auto const kept = *rc::gen::inRange<std::size_t>(0, 6);
            std::size_t position = 0;
            fleet->heal_all();
            for (std::string const& to : seven) {
                bool const spared = position >= kept && position < kept + 3;
                bool const wrapped = position + 6 < kept + 3;
                if (to != from && !spared && !wrapped) {
                    fleet->cut(from, to);
                }
                position += to != from ? 1 : 0;
            }
            fleet->run_for(model::milliseconds(*rc::gen::inRange(1, 20'000)));
        }
        for (std::string const& name : seven) {
            RC_ASSERT(times_lost(*fleet, name) == 0U);
        }
    }));
}

TEST_CASE("after any history of faults, views converge to the truth")
{
    // Hosts crash, start, pause and lose their links in any order. A view that
    // stays wrong afterwards would keep work from a live host, or send it to a
    // crashed one, until an operator restarts the fleet.
    CHECK(rc::check("views converge to the truth", [] {
        auto const fleet = make_seven();
        auto const steps = *rc::gen::inRange(1, 12);
        for (int step = 0; step < steps; ++step) {
            auto const name = *rc::gen::elementOf(seven);
            auto const other = *rc::gen::elementOf(seven);
            bool const running = fleet->host(name).agent != nullptr;
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                fleet->crash(name);
                break;
            case 1:
                if (!running) {
                    fleet->start(name);
                }
                break;
            case 2:
                fleet->pause(name);
                break;
            case 3:
                fleet->resume(name);
                break;
            case 4:
                fleet->cut(name, other);
                break;
            default:
                fleet->heal_all();
                break;
            }
            fleet->run_for(model::milliseconds(*rc::gen::inRange(1, 8'000)));
        }
        fleet->heal_all();
        std::size_t running = 0;
        for (std::string const& name : seven) {
            fleet->resume(name);
            running += fleet->host(name).agent != nullptr ? 1 : 0;
        }
        fleet->run_for(30s);
        for (std::string const& name : seven) {
            if (fleet->host(name).agent != nullptr) {
                auto const view = fleet->host(name).agent->view();
                RC_ASSERT(view->live().size() == running);
            }
        }
    }));
}
