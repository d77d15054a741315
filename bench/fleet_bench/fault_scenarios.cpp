#include "bench/fleet_bench/fleet_scenarios.hpp"

#include <fmt/format.h>

#include <random>

namespace caperjunction::bench {
namespace {

using namespace std::chrono_literals;

struct false_alarms
{
    /// Reports of the paused host as lost, by other hosts.
    std::size_t of_paused = 0;
    /// Reports of continuously running hosts as lost.
    std::size_t of_running = 0;
};

false_alarms count_lost(virtual_fleet const& fleet, std::string const& paused)
{
    false_alarms count;
    for (observed_change const& seen : fleet.changes()) {
        if (seen.event.change != fleet::host_change::lost) {
            continue;
        }
        ++(seen.event.host == paused ? count.of_paused : count.of_running);
    }
    return count;
}

std::string nth_host(virtual_fleet const& fleet, std::size_t place)
{
    auto chosen = fleet.hosts().begin();
    std::advance(chosen, place % fleet.hosts().size());
    return chosen->first;
}

constexpr model::milliseconds step{100};
constexpr double step_seconds = 0.1;

/// Returns the host-seconds of the last step in which other hosts considered
/// `name` to be leaving, or with `leaving` false, to accept work.
double observed_host_seconds(virtual_fleet const& fleet,
                             std::string const& name,
                             bool leaving)
{
    double seconds = 0.0;
    for (auto const& [observer, host] : fleet.hosts()) {
        if (host.agent == nullptr || host.paused || observer == name) {
            continue;
        }
        auto const state = host.agent->view()->find(name)->state;
        bool const matches = (state == fleet::host_state::leaving) == leaving;
        seconds += matches ? step_seconds : 0.0;
    }
    return seconds;
}

/// Returns a heartbeat of a process that has ended or was replaced.
fleet::message_received
old_heartbeat(std::string const& from, std::uint64_t generation, bool leaving)
{
    fleet::heartbeat beat;
    beat.generation = generation;
    beat.leaving = leaving;
    return {from, beat};
}

/// Replaces one host. A peer that is paused meanwhile receives the last message
/// of the old process after those of the new one, because they arrive over
/// different connections. Returns the host-seconds of a wrong state.
double replace_with_paused_peer(virtual_fleet& fleet,
                                std::string const& name,
                                std::string const& paused_host)
{
    auto const old = fleet.host(name).agent->view()->find(name)->generation;
    fleet.pause(paused_host);
    fleet.leave(name);
    fleet.run_for(1s);
    fleet.crash(name);
    fleet.start(name);
    fleet.run_for(3s);
    fleet.resume(paused_host);
    fleet.run_for(model::milliseconds(20));
    fleet.inject_event(paused_host, old_heartbeat(name, old, true));
    double wrong = 0.0;
    for (int passed = 0; passed < 100; ++passed) {
        fleet.run_for(step);
        wrong += observed_host_seconds(fleet, name, true);
    }
    return wrong;
}

/// A process that was frozen and replaced under its name resumes and sends
/// heartbeats while its successor is stopping. Returns the host-seconds of a
/// wrong state.
double leave_beside_old_process(virtual_fleet& fleet, std::string const& name)
{
    auto const old = fleet.host(name).agent->view()->find(name)->generation;
    fleet.crash(name);
    fleet.start(name);
    fleet.run_for(5s);
    fleet.leave(name);
    double wrong = 0.0;
    for (int passed = 0; passed < 70; ++passed) {
        fleet.run_for(step);
        // A leaving host may still get work for two seconds (20 steps).
        wrong += passed < 20 ? 0.0 : observed_host_seconds(fleet, name, false);
        if (passed % 5 != 0) {
            continue;
        }
        for (auto const& [observer, host] : fleet.hosts()) {
            if (observer != name) {
                fleet.inject_event(observer, old_heartbeat(name, old, false));
            }
        }
    }
    fleet.crash(name);
    fleet.start(name);
    fleet.run_for(5s);
    return wrong;
}

} // namespace

void measure_pauses(std::size_t hosts,
                    model::milliseconds heartbeat,
                    model::milliseconds pause,
                    bench_options const& options,
                    std::vector<figure>& figures)
{
    virtual_fleet_settings settings;
    settings.agent.membership.heartbeat_period = heartbeat;
    settings.agent.membership.silence_limit = 4 * heartbeat;
    false_alarms sum;
    for (std::size_t trial = 0; trial < options.trials; ++trial) {
        bench_options trial_options = options;
        trial_options.seed += trial;
        auto const fleet = make_fleet(hosts, settings, trial_options);
        std::string const name = nth_host(*fleet, trial);
        fleet->pause(name);
        fleet->run_for(pause);
        fleet->resume(name);
        fleet->run_for(10s);
        auto const counted = count_lost(*fleet, name);
        sum.of_paused += counted.of_paused > 0 ? 1 : 0;
        sum.of_running += counted.of_running;
    }
    auto const setting = fmt::format(
        "heartbeat {} ms, pause {} ms", heartbeat.count(), pause.count());
    auto const trials = static_cast<double>(options.trials);
    figures.push_back({"pauses",
                       hosts,
                       setting,
                       "pauses after which the sleeper was lost",
                       static_cast<double>(sum.of_paused) / trials,
                       "share"});
    figures.push_back({"pauses",
                       hosts,
                       setting,
                       "running hosts told as lost",
                       static_cast<double>(sum.of_running) / trials,
                       "per pause"});
}

void measure_resume(std::size_t hosts,
                    bool refresh,
                    bench_options const& options,
                    std::vector<figure>& figures)
{
    virtual_fleet_settings settings;
    settings.agent.membership.refresh_after_pause = refresh;
    double acted = 0.0;
    double waited = 0.0;
    std::size_t returned = 0;
    for (std::size_t trial = 0; trial < options.trials; ++trial) {
        bench_options trial_options = options;
        trial_options.seed += trial;
        auto const fleet = make_fleet(hosts, settings, trial_options);
        std::string const paused_host = nth_host(*fleet, trial);
        std::string const dead = nth_host(*fleet, trial + 1);
        fleet->pause(paused_host);
        fleet->run_for(10s);
        fleet->crash(dead);
        fleet->run_for(20s);
        fleet->resume(paused_host);
        for (int passed = 0; passed < 100; ++passed) {
            auto const& agent = *fleet->host(paused_host).agent;
            auto const state = agent.view()->find(dead)->state;
            bool const lost = state == fleet::host_state::lost;
            acted += agent.is_view_current() && !lost ? step_seconds : 0.0;
            waited += agent.is_view_current() ? 0.0 : step_seconds;
            fleet->run_for(step);
        }
        for (observed_change const& seen : fleet->changes()) {
            bool const wrong = seen.event.change == fleet::host_change::returned
                               && seen.event.host == dead;
            returned += wrong ? 1 : 0;
        }
    }
    auto const trials = static_cast<double>(options.trials);
    std::string const setting = refresh ? "" : "no refresh";
    auto const add = [&](char const* name, double value, char const* unit) {
        figures.push_back(
            {"wake after 30 s", hosts, setting, name, value / trials, unit});
    };
    add("sleeper acts with a dead host live", acted, "s");
    add("sleeper waits before it acts", waited, "s");
    add("dead host told as returned", static_cast<double>(returned), "times");
}

void measure_broken_routes(std::size_t hosts,
                           bool refute,
                           bench_options const& options,
                           std::vector<figure>& figures)
{
    virtual_fleet_settings settings;
    settings.agent.membership.refute = refute;
    std::size_t lost = 0;
    for (std::size_t trial = 0; trial < options.trials; ++trial) {
        bench_options trial_options = options;
        trial_options.seed += trial;
        auto const fleet = make_fleet(hosts, settings, trial_options);
        std::string const from = nth_host(*fleet, trial);
        std::string const to = nth_host(*fleet, trial + 1);
        fleet->cut(from, to);
        fleet->run_for(60s);
        lost += count_lost(*fleet, "").of_running;
    }
    figures.push_back(
        {"broken route for 60 s",
         hosts,
         refute ? "" : "no refutation",
         "running hosts told as lost",
         static_cast<double>(lost) / static_cast<double>(options.trials),
         "per fault"});
}

void measure_replacement(std::size_t hosts,
                         bool generations,
                         bench_options const& options,
                         std::vector<figure>& figures)
{
    virtual_fleet_settings settings;
    settings.agent.membership.check_generation = generations;
    double late_messages = 0.0;
    double old_process = 0.0;
    for (std::size_t trial = 0; trial < options.trials; ++trial) {
        bench_options trial_options = options;
        trial_options.seed += trial;
        auto const fleet = make_fleet(hosts, settings, trial_options);
        std::string const name = nth_host(*fleet, trial);
        std::string const paused_host = nth_host(*fleet, trial + 1);
        late_messages += replace_with_paused_peer(*fleet, name, paused_host);
        old_process += leave_beside_old_process(*fleet, name);
    }
    auto const trials = static_cast<double>(options.trials);
    std::string const setting = generations ? "" : "no generation check";
    figures.push_back({"replacement",
                       hosts,
                       setting,
                       "live host held for leaving",
                       late_messages / trials,
                       "host-s per replacement"});
    figures.push_back({"replacement",
                       hosts,
                       setting,
                       "leaving host held for live",
                       old_process / trials,
                       "host-s in 5 s"});
}

} // namespace caperjunction::bench
