#include "bench/policy_bench/summary.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>

namespace caperjunction::bench {
namespace {

constexpr double none = 2.0;

struct row
{
    run_result const* first = nullptr;
    /// Worst attainment by class; `none` if there is no such seed.
    std::vector<double> within_share;
    std::vector<double> beyond_share;
    double goodput = 1e9;
    double wasted = 0.0;
    std::uint64_t bytes = 0;
    std::uint32_t engines_lost = 0;
    std::uint32_t violations = 0;
};

bool same_row(run_result const& left, run_result const& right)
{
    return left.deployment == right.deployment
           && left.scenario == right.scenario && left.policy == right.policy;
}

void add(row& into, run_result const& one)
{
    into.within_share.resize(one.classes.size(), none);
    into.beyond_share.resize(one.classes.size(), none);
    for (std::size_t index = 0; index < one.classes.size(); ++index) {
        class_result const& entry = one.classes[index];
        double& worst = entry.fits_share ? into.within_share[index]
                                         : into.beyond_share[index];
        worst = std::min(worst, entry.attainment());
    }
    into.goodput = std::min(into.goodput, one.goodput_ratio);
    into.wasted = std::max(into.wasted, one.wasted_ratio);
    into.bytes = std::max(into.bytes, one.cross_region_bytes);
    into.engines_lost = std::max(into.engines_lost, one.engines_lost);
    for (violation const& entry : one.violations) {
        into.violations += entry.count;
    }
}

std::vector<row> gather(std::vector<run_result> const& results)
{
    std::vector<row> rows;
    for (run_result const& one : results) {
        auto found =
            std::find_if(rows.begin(), rows.end(), [&](row const& own) {
                return same_row(*own.first, one);
            });
        if (found == rows.end()) {
            rows.emplace_back();
            found = rows.end() - 1;
            found->first = &one;
        }
        add(*found, one);
    }
    return rows;
}

std::string header(run_result const& one)
{
    std::string text =
        fmt::format("\n### {}\n\n| scenario | policy |", one.deployment);
    std::string line = "|---|---|";
    for (class_result const& entry : one.classes) {
        text += fmt::format(" {} ({:.2f}) |", entry.name, entry.promised);
        line += "---|";
    }
    return text
           + " goodput | wasted | cross-region MB | engines lost | "
             "violations |\n"
           + line + "---|---|---|---|---|\n";
}

std::string describe(row const& own)
{
    std::string text =
        fmt::format("| {} | {} |", own.first->scenario, own.first->policy);
    for (std::size_t index = 0; index < own.within_share.size(); ++index) {
        if (own.within_share[index] < none) {
            text += fmt::format(" {:.4f}", own.within_share[index]);
        }
        // A class whose tier exceeds its share has no promised attainment; its
        // value is in parentheses.
        if (own.beyond_share[index] < none) {
            text += fmt::format(" ({:.4f})", own.beyond_share[index]);
        }
        text += " |";
    }
    return text
           + fmt::format(" {:.3f} | {:.4f} | {:.1f} | {} | {} |\n",
                         own.goodput,
                         own.wasted,
                         static_cast<double>(own.bytes) / 1e6,
                         own.engines_lost,
                         own.violations);
}

} // namespace

std::string to_markdown(std::vector<run_result> const& results)
{
    std::string text;
    std::string deployment;
    for (row const& own : gather(results)) {
        if (own.first->deployment != deployment) {
            deployment = own.first->deployment;
            text += header(*own.first);
        }
        text += describe(own);
    }
    return text;
}

} // namespace caperjunction::bench
