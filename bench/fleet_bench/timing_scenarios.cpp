#include "bench/fleet_bench/bench_lists.hpp"
#include "bench/fleet_bench/fleet_scenarios.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <random>
#include <set>
#include <string>

namespace caperjunction::bench {
namespace {

constexpr model::milliseconds step{10};
constexpr model::milliseconds max_wait{60'000};
constexpr std::chrono::seconds between_trials{8};

/// Runs in steps until `done`; returns the virtual time, at least `max_wait` if
/// it times out.
model::seconds time_until(virtual_fleet& fleet,
                          std::function<bool()> const& done)
{
    auto const begin = fleet.now();
    while (!done() && fleet.now() - begin < max_wait) {
        fleet.run_for(step);
    }
    return fleet.now() - begin;
}

void add_median_and_max(std::vector<figure>& figures,
                        figure const& prototype,
                        std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    figure median = prototype;
    median.name += " median";
    median.value = values[values.size() / 2];
    figures.push_back(median);
    figure maximum = prototype;
    maximum.name += " max";
    maximum.value = values.back();
    figures.push_back(maximum);
}

bool considers_lost(virtual_host const& observer, std::string const& name)
{
    auto const view = observer.agent->view();
    return view->find(name)->state == fleet::host_state::lost;
}

std::string random_host(virtual_fleet const& fleet, std::mt19937_64& random)
{
    std::uniform_int_distribution<std::size_t> place(0,
                                                     fleet.hosts().size() - 1);
    auto chosen = fleet.hosts().begin();
    std::advance(chosen, place(random));
    return chosen->first;
}

std::set<std::string> watchers(virtual_fleet& fleet)
{
    std::set<std::string> names;
    for (auto const& pending : fleet.service().watches()) {
        names.insert(pending.host);
    }
    return names;
}

/// Freezes the watchers outside of the first region and returns their names.
std::set<std::string> freeze_most(virtual_fleet& fleet)
{
    std::string const& first = fleet.hosts().begin()->second.host.region;
    std::set<std::string> frozen;
    for (std::string const& name : watchers(fleet)) {
        if (fleet.host(name).host.region != first) {
            frozen.insert(name);
            fleet.pause(name);
        }
    }
    return frozen;
}

std::string to_string(watcher_fault fault)
{
    switch (fault) {
    case watcher_fault::none:
        return "";
    case watcher_fault::most_frozen:
        return ", most watchers just frozen";
    case watcher_fault::all_cut_off:
        break;
    }
    return ", no watcher reaches the service";
}

/// Publishes a change of one key and returns the seconds until it is in force
/// on all hosts that are not frozen.
double
time_one_change(virtual_fleet& fleet, bench_lists& lists, watcher_fault fault)
{
    lists.change_one_key();
    std::set<std::string> frozen;
    if (fault == watcher_fault::most_frozen) {
        frozen = freeze_most(fleet);
    } else if (fault == watcher_fault::all_cut_off) {
        fleet.service().unreachable_from = watchers(fleet);
    }
    fleet.publish(fleet::published_value::plans, lists.plans());
    std::uint64_t const revision = fleet.revision();
    auto const& all = fleet.hosts();
    auto const time = time_until(fleet, [&] {
        return std::all_of(all.begin(), all.end(), [&](auto const& entry) {
            auto const in_force = entry.second.agent->in_force();
            return frozen.count(entry.first) != 0
                   || in_force[fleet::published_value::plans] == revision;
        });
    });
    for (std::string const& name : frozen) {
        fleet.resume(name);
    }
    fleet.service().unreachable_from.clear();
    return time.count();
}

} // namespace

void measure_detection(std::size_t hosts,
                       model::milliseconds heartbeat,
                       bench_options const& options,
                       std::vector<figure>& figures)
{
    virtual_fleet_settings settings;
    settings.agent.membership.heartbeat_period = heartbeat;
    settings.agent.membership.silence_limit = 4 * heartbeat;
    auto const fleet = make_fleet(hosts, settings, options);
    std::mt19937_64 random(options.seed);
    std::vector<double> first;
    std::vector<double> all;
    for (std::size_t trial = 0; trial < options.trials; ++trial) {
        std::string const name = random_host(*fleet, random);
        auto const sees = [&](auto const& entry) {
            return entry.first == name || considers_lost(entry.second, name);
        };
        auto const one_sees = [&](auto const& entry) {
            return entry.first != name && considers_lost(entry.second, name);
        };
        fleet->crash(name);
        auto const& observers = fleet->hosts();
        auto const until_first = time_until(*fleet, [&] {
            return std::any_of(observers.begin(), observers.end(), one_sees);
        });
        auto const rest = time_until(*fleet, [&] {
            return std::all_of(observers.begin(), observers.end(), sees);
        });
        first.push_back(until_first.count());
        all.push_back((until_first + rest).count());
        fleet->start(name);
        fleet->run_for(between_trials);
    }
    auto const setting = fmt::format("heartbeat {} ms", heartbeat.count());
    add_median_and_max(
        figures, {"detection", hosts, setting, "first knows", 0, "s"}, first);
    add_median_and_max(
        figures, {"detection", hosts, setting, "all know", 0, "s"}, all);
}

void measure_in_force(std::size_t hosts,
                      watcher_fault fault,
                      bench_options const& options,
                      std::vector<figure>& figures)
{
    auto const fleet = make_fleet(hosts, {}, options);
    bench_lists lists(options.teams, options.seed);
    std::vector<double> times;
    for (std::size_t trial = 0; trial < options.trials; ++trial) {
        times.push_back(time_one_change(*fleet, lists, fault));
        fleet->run_for(between_trials / 4);
    }
    auto const setting =
        fmt::format("{} teams{}", options.teams, to_string(fault));
    add_median_and_max(
        figures, {"in force", hosts, setting, "on all hosts", 0, "s"}, times);
}

} // namespace caperjunction::bench
