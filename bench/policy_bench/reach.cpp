#include "bench/policy_bench/reach.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace caperjunction::bench {
namespace {

constexpr double top_tier_target = 0.99;
constexpr double goodput_target = 0.9;
constexpr double min_gain_over_round_robin = 2.0;
constexpr double max_wasted = 0.01;
constexpr double max_wasted_with_killer = 0.03;
constexpr double max_cross_region_share = 0.5;

using miss_list = std::vector<std::string>;

// In saturation, a class exceeds its share unless its tier is the highest.
void check_classes(run_result const& run, miss_list& misses)
{
    std::string const& top = run.classes.front().tier;
    for (class_result const& one : run.classes) {
        bool const is_top = one.tier == top;
        double required = one.fits_share ? one.promised : 0.0;
        if (is_top) {
            required = std::max(one.promised, top_tier_target);
        }
        if (one.attainment() < required) {
            misses.push_back(fmt::format("{} attained {:.4f} of {:.2f}",
                                         one.name,
                                         one.attainment(),
                                         required));
        }
    }
}

void check_shares(run_result const& run, miss_list& misses)
{
    for (tier_result const& one : run.tiers) {
        double const required = std::min(one.guaranteed, one.demanded);
        // A demand within the share is checked by the attainment of its
        // classes.
        if (one.demanded > one.guaranteed && one.delivered < required) {
            misses.push_back(fmt::format("tier {} got {:.3f} of its {:.2f}",
                                         one.name,
                                         one.delivered,
                                         required));
        }
    }
}

void check_saturation(run_result const& run,
                      std::vector<run_result const*> const& baselines,
                      miss_list& misses)
{
    check_shares(run, misses);
    if (run.goodput_ratio < goodput_target) {
        misses.push_back(fmt::format("goodput {:.3f}", run.goodput_ratio));
    }
    for (run_result const* other : baselines) {
        double const required =
            other->goodput_ratio
            * (other->policy == "round_robin" ? min_gain_over_round_robin
                                              : 1.0);
        if (run.goodput_ratio < required) {
            misses.push_back(fmt::format("goodput {:.3f}, {} sets {:.3f}",
                                         run.goodput_ratio,
                                         other->policy,
                                         required));
        }
    }
}

void check_waste(run_result const& run,
                 std::vector<run_result const*> const& baselines,
                 miss_list& misses)
{
    double allowed =
        run.scenario == "killer_request" ? max_wasted_with_killer : max_wasted;
    std::string source = "the reach";
    for (run_result const* other : baselines) {
        if (other->wasted_ratio < allowed) {
            allowed = other->wasted_ratio;
            source = other->policy;
        }
    }
    if (run.wasted_ratio > allowed) {
        misses.push_back(fmt::format("wasted {:.4f}, {} sets {:.4f}",
                                     run.wasted_ratio,
                                     source,
                                     allowed));
    }
}

void check_bytes(run_result const& run,
                 std::vector<run_result const*> const& baselines,
                 miss_list& misses)
{
    for (run_result const* other : baselines) {
        double const allowed = max_cross_region_share
                               * static_cast<double>(other->cross_region_bytes);
        if (other->policy == "least_outstanding"
            && static_cast<double>(run.cross_region_bytes) > allowed) {
            misses.push_back(fmt::format("{} cross-region bytes of {:.0f}",
                                         run.cross_region_bytes,
                                         allowed));
        }
    }
}

std::vector<run_result const*>
find_baselines(run_result const& run, std::vector<run_result> const& results)
{
    std::vector<run_result const*> found;
    for (run_result const& one : results) {
        if (one.policy != run.policy && one.deployment == run.deployment
            && one.scenario == run.scenario && one.seed == run.seed) {
            found.push_back(&one);
        }
    }
    return found;
}

} // namespace

std::vector<std::string>
find_misses(run_result const& run,
            std::vector<run_result const*> const& baselines)
{
    miss_list misses;
    for (violation const& one : run.violations) {
        misses.push_back(fmt::format(
            "violation {} {} times: {}", one.kind, one.count, one.example));
    }
    check_classes(run, misses);
    if (run.scenario == "saturation") {
        check_saturation(run, baselines, misses);
    }
    check_waste(run, baselines, misses);
    check_bytes(run, baselines, misses);
    return misses;
}

std::string to_reach(std::vector<run_result> const& results)
{
    std::string text;
    int runs = 0;
    int passed = 0;
    for (run_result const& run : results) {
        if (run.policy != "caperjunction") {
            continue;
        }
        auto const misses = find_misses(run, find_baselines(run, results));
        ++runs;
        passed += misses.empty() ? 1 : 0;
        for (std::string const& miss : misses) {
            text += fmt::format("{} {} seed {}: {}\n",
                                run.deployment,
                                run.scenario,
                                run.seed,
                                miss);
        }
    }
    return text + fmt::format("{} of {} runs within reach\n", passed, runs);
}

} // namespace caperjunction::bench
