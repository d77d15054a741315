#include "bench/policy_bench/report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cmath>

namespace caperjunction::bench {
namespace {

using json = nlohmann::ordered_json;

// Further digits are not significant and differ between processors.
double rounded(double value)
{
    constexpr double grain = 1e6;
    return std::round(value * grain) / grain;
}

json to_object(class_result const& one)
{
    return {
        {"name", one.name},
        {"tier", one.tier},
        {"offered", one.offered},
        {"served", one.served},
        {"refused", one.refused},
        {"attainment", rounded(one.attainment())},
        {"promised", one.promised},
        {"max_wait_s", rounded(one.max_wait_s)},
        {"failed", one.failed},
        {"hung_up", one.hung_up},
        {"fits_share", one.fits_share},
        {"smaller_teams_attainment", rounded(one.smaller_teams_attainment())}};
}

json to_object(run_result const& one)
{
    json classes = json::array();
    for (class_result const& entry : one.classes) {
        classes.push_back(to_object(entry));
    }
    json tiers = json::array();
    for (tier_result const& tier : one.tiers) {
        tiers.push_back({{"name", tier.name},
                         {"guaranteed", tier.guaranteed},
                         {"demanded", rounded(tier.demanded)},
                         {"delivered", rounded(tier.delivered)}});
    }
    json regions = json::array();
    for (region_result const& region : one.regions) {
        regions.push_back({{"name", region.name},
                           {"offered", region.offered},
                           {"served", region.served}});
    }
    json violations = json::array();
    for (violation const& entry : one.violations) {
        violations.push_back({{"kind", entry.kind},
                              {"count", entry.count},
                              {"example", entry.example}});
    }
    return {{"deployment", one.deployment},
            {"scenario", one.scenario},
            {"policy", one.policy},
            {"seed", one.seed},
            {"classes", classes},
            {"goodput_ratio", rounded(one.goodput_ratio)},
            {"wasted_ratio", rounded(one.wasted_ratio)},
            {"cross_region_bytes", one.cross_region_bytes},
            {"violations", violations},
            {"tiers", tiers},
            {"regions", regions},
            {"engines_lost", one.engines_lost}};
}

} // namespace

std::string to_json(std::vector<run_result> const& results)
{
    constexpr int indent = 2;
    if (results.size() == 1) {
        return to_object(results.front()).dump(indent) + "\n";
    }
    json all = json::array();
    for (run_result const& one : results) {
        all.push_back(to_object(one));
    }
    return all.dump(indent) + "\n";
}

std::string to_table(std::vector<run_result> const& results)
{
    std::string text;
    for (run_result const& one : results) {
        text += fmt::format("{} {} {} seed {}: goodput {:.3f} wasted {:.4f} "
                            "cross_region {:.1f} MB engines_lost {}\n",
                            one.deployment,
                            one.scenario,
                            one.policy,
                            one.seed,
                            one.goodput_ratio,
                            one.wasted_ratio,
                            static_cast<double>(one.cross_region_bytes) / 1e6,
                            one.engines_lost);
        for (class_result const& entry : one.classes) {
            text += fmt::format("  {:<20} {:<8} offered {:>6} served {:>6} "
                                "refused {:>5} attained {:.4f} of {:.2f} "
                                "late {:>4} slow {:>4} smaller teams {:.4f} "
                                "max_wait {:.2f} s{}\n",
                                entry.name,
                                entry.tier,
                                entry.offered,
                                entry.served,
                                entry.refused,
                                entry.attainment(),
                                entry.promised,
                                entry.late,
                                entry.slow,
                                entry.smaller_teams_attainment(),
                                entry.max_wait_s,
                                entry.fits_share ? "" : " beyond its share");
        }
        for (tier_result const& tier : one.tiers) {
            text += fmt::format("  tier {:<15} guaranteed {:.2f} demanded "
                                "{:.3f} delivered {:.3f}\n",
                                tier.name,
                                tier.guaranteed,
                                tier.demanded,
                                tier.delivered);
        }
        for (violation const& entry : one.violations) {
            text += fmt::format("  VIOLATION {} {} times: {}\n",
                                entry.kind,
                                entry.count,
                                entry.example);
        }
    }
    return text;
}

} // namespace caperjunction::bench
