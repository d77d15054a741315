#include "bench/claims_explorer/availability.hpp"
#include "bench/claims_explorer/report.hpp"
#include "bench/claims_explorer/search.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>

ABSL_FLAG(std::string, format, "table", "json or table");
ABSL_FLAG(std::uint32_t,
          hosts,
          7,
          "number of hosts, of which two are entry hosts; 5 are witnesses "
          "initially, 2 more join in later lists");
ABSL_FLAG(std::uint32_t, depth, 120, "maximum number of steps in one history");
ABSL_FLAG(std::uint64_t,
          seed,
          1,
          "seed of the order in which histories are explored");
ABSL_FLAG(std::int32_t, quorum_delta, 0, "added to the quorum of the design");
ABSL_FLAG(std::uint64_t,
          max_states,
          12'000'000,
          "maximum number of states per profile; larger profiles and orders "
          "use a fraction");
ABSL_FLAG(std::uint32_t, threads, 0, "number of threads; 0: one per processor");
ABSL_FLAG(bool, full, true, "run all profiles; false: only the small profiles");
ABSL_FLAG(std::string, profile, "", "run only this profile");
ABSL_FLAG(bool,
          availability,
          false,
          "measure instead how many bookings run in histories of faults, by "
          "votes and by a single owner per key");
ABSL_FLAG(bool, stop_at_first, false, "stop at the first violation");
ABSL_FLAG(std::string,
          off,
          "none",
          "mechanism to disable: none, new_hosts_vote, no_grant_lease, "
          "no_view_lease, no_quiet_time");

namespace {

using namespace caperjunction::claims_explorer;

constexpr double s_unbounded_loads = 1e6;
constexpr double s_orders_share = 1.0 / 12.0;

ablation ablation_of(std::string const& name)
{
    if (name == "new_hosts_vote") {
        return ablation::new_hosts_vote;
    }
    if (name == "no_grant_lease") {
        return ablation::no_grant_lease;
    }
    return name == "no_view_lease" ? ablation::no_view_lease : ablation::none;
}

search_limits limits_of_flags(double share)
{
    search_limits limits;
    limits.depth = absl::GetFlag(FLAGS_depth);
    auto const states = static_cast<double>(absl::GetFlag(FLAGS_max_states));
    limits.max_states = static_cast<std::size_t>(states * share);
    limits.seed = absl::GetFlag(FLAGS_seed);
    limits.threads = absl::GetFlag(FLAGS_threads);
    limits.stop_at_first = absl::GetFlag(FLAGS_stop_at_first);
    if (limits.threads == 0) {
        limits.threads = std::max(1U, std::thread::hardware_concurrency());
    }
    return limits;
}

// Searches engines that check fencing numbers and engines that do not.
void add_orders(std::vector<profile_result>& results)
{
    bool const full = absl::GetFlag(FLAGS_full);
    fault_budget const budget = order_budget(full);
    for (bool const checks : {true, false}) {
        order_scenario fixed;
        fixed.checks_fencing = checks;
        fixed.settings.loads_per_minute = s_unbounded_loads;
        if (absl::GetFlag(FLAGS_off) == "no_quiet_time") {
            fixed.settings.takeover_delay =
                fixed.settings.takeover_delay.zero();
        }
        results.push_back(
            {checks ? "orders, checked" : "orders, unchecked",
             search_orders(fixed, budget, limits_of_flags(s_orders_share))});
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Explores all histories of a non-repeatable call within a fault "
        "budget.");
    absl::ParseCommandLine(argc, argv);
    constexpr std::uint32_t s_min_hosts = 5;
    auto const hosts = absl::GetFlag(FLAGS_hosts);
    auto const format = absl::GetFlag(FLAGS_format);
    if (hosts < s_min_hosts || (format != "json" && format != "table")) {
        std::cerr << "invalid flags: --hosts must be 5 or more, --format json "
                     "or table\n";
        return 2;
    }
    if (absl::GetFlag(FLAGS_availability)) {
        auto const results = measure_availability(absl::GetFlag(FLAGS_seed));
        std::cout << report_availability(results, format == "json");
        return 0;
    }
    scenario const fixed(hosts,
                         absl::GetFlag(FLAGS_quorum_delta),
                         ablation_of(absl::GetFlag(FLAGS_off)));
    auto const only = absl::GetFlag(FLAGS_profile);
    std::vector<profile_result> results;
    for (auto const& profile : fault_profiles(absl::GetFlag(FLAGS_full))) {
        if (only.empty() || only == profile.name) {
            results.push_back({profile.name,
                               search(fixed,
                                      profile.budget,
                                      limits_of_flags(profile.share))});
        }
    }
    if (only.empty() || only == "orders") {
        add_orders(results);
    }
    std::cout << (format == "json" ? report_json(results)
                                   : report_table(results));
    bool const clean =
        std::all_of(results.begin(), results.end(), [](auto const& one) {
            return one.result.history.empty();
        });
    return clean ? 0 : 1;
}
