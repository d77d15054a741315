#include "bench/fleet_bench/fleet_scenarios.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, format, "table", "json or table");
ABSL_FLAG(std::string,
          scenario,
          "all",
          "detection, in_force, load, pauses, routes, replacement or all");
ABSL_FLAG(std::uint32_t,
          hosts,
          0,
          "measure only this fleet size; 0: 7, 14 and 28 hosts");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random choices");
ABSL_FLAG(std::uint32_t, trials, 20, "repetitions of each fault or change");

namespace {

using namespace caperjunction;
using namespace std::chrono_literals;
using bench::figure;

constexpr std::size_t large_fleet = 400;
constexpr std::size_t large_fleet_trials = 5;
// 61,000 changes per day, with the number of teams of a fleet of that size.
constexpr double large_fleet_changes = 61'000.0 / 86'400.0;
constexpr std::size_t large_fleet_teams = 530;
constexpr std::size_t default_teams = 10;

bool is_selected(char const* scenario)
{
    std::string const chosen = absl::GetFlag(FLAGS_scenario);
    return chosen == "all" || chosen == scenario;
}

bench::bench_options options_for(std::size_t hosts)
{
    bench::bench_options options;
    options.seed = absl::GetFlag(FLAGS_seed);
    options.trials =
        hosts >= large_fleet ? large_fleet_trials : absl::GetFlag(FLAGS_trials);
    options.teams = hosts >= large_fleet ? large_fleet_teams : default_teams;
    return options;
}

void measure_loads(std::size_t hosts, std::vector<figure>& figures)
{
    auto options = options_for(hosts);
    bench::measure_load(hosts, true, options, figures);
    options.digest_bytes = 2'000;
    bench::measure_load(hosts, true, options, figures);
    options.digest_bytes = 400;
    options.changes_per_second = large_fleet_changes;
    options.teams = large_fleet_teams;
    bench::measure_load(hosts, true, options, figures);
    bench::measure_load(hosts, false, options, figures);
}

void measure_faults(std::size_t hosts, std::vector<figure>& figures)
{
    auto const options = options_for(hosts);
    if (is_selected("pauses")) {
        for (auto const heartbeat : {250ms, 500ms, 1'000ms}) {
            for (auto const pause :
                 {500ms, 1'500ms, 2'500ms, 3'500ms, 5'500ms}) {
                bench::measure_pauses(
                    hosts, heartbeat, pause, options, figures);
            }
        }
        bench::measure_resume(hosts, true, options, figures);
        bench::measure_resume(hosts, false, options, figures);
    }
    if (is_selected("routes")) {
        bench::measure_broken_routes(hosts, true, options, figures);
        bench::measure_broken_routes(hosts, false, options, figures);
    }
    if (is_selected("replacement")) {
        bench::measure_replacement(hosts, true, options, figures);
        bench::measure_replacement(hosts, false, options, figures);
    }
}

std::vector<figure> measure()
{
    std::vector<figure> figures;
    std::vector<std::size_t> sizes{7, 14, 28};
    if (absl::GetFlag(FLAGS_hosts) != 0) {
        sizes = {absl::GetFlag(FLAGS_hosts)};
    }
    for (std::size_t const hosts : sizes) {
        auto const options = options_for(hosts);
        if (is_selected("detection")) {
            for (auto const heartbeat : {250ms, 500ms, 1'000ms}) {
                bench::measure_detection(hosts, heartbeat, options, figures);
            }
        }
        if (is_selected("in_force")) {
            for (auto const fault : {bench::watcher_fault::none,
                                     bench::watcher_fault::most_frozen,
                                     bench::watcher_fault::all_cut_off}) {
                bench::measure_in_force(hosts, fault, options, figures);
            }
        }
        if (is_selected("load")) {
            measure_loads(hosts, figures);
        }
    }
    measure_faults(sizes.front(), figures);
    return figures;
}

void print_json(std::vector<figure> const& figures)
{
    nlohmann::json list = nlohmann::json::array();
    for (figure const& each : figures) {
        list.push_back({{"scenario", each.scenario},
                        {"hosts", each.hosts},
                        {"setting", each.setting},
                        {"name", each.name},
                        {"value", each.value},
                        {"unit", each.unit}});
    }
    std::cout << list.dump(1) << '\n';
}

void print_table(std::vector<figure> const& figures)
{
    for (figure const& each : figures) {
        std::cout << fmt::format("{:24} {:4} {:52} {:42} {:10.3f} {}\n",
                                 each.scenario,
                                 each.hosts,
                                 each.setting,
                                 each.name,
                                 each.value,
                                 each.unit);
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "measures the fleet's state machines in virtual time");
    absl::ParseCommandLine(argc, argv);
    std::string const format = absl::GetFlag(FLAGS_format);
    if (format != "json" && format != "table") {
        std::cerr << "unknown --format; use json or table\n";
        return 2;
    }
    auto const figures = measure();
    if (format == "json") {
        print_json(figures);
    } else {
        print_table(figures);
    }
    return 0;
}
