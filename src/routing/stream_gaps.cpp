#include "routing/stream_gaps.hpp"

#include <algorithm>
#include <chrono>

namespace caperjunction::routing {
namespace {

/// Events that are at most this far apart were received together.
constexpr double together_ms = 1.0;
/// Longer gaps don't come from an engine that works.
constexpr double max_gap_ms = 60'000.0;
/// One in so many gaps is below the lower bound.
constexpr std::size_t lower_bound_divisor = 8;
/// Gaps without a prompt differ little; prompts lengthen gaps by different
/// amounts. If the shortest gaps are not close to each other, they contain
/// prompts.
constexpr std::size_t min_close = 4;
constexpr double max_spread = 1.15;
/// An event that is delayed on its way is followed by a gap that is too short:
/// one in as many gaps doesn't count as the shortest.
constexpr std::size_t outlier_divisor = 16;
constexpr double max_jitter_ms = 1.0;
/// Additional time of a step when all slots are running.
constexpr double additional_step_share = 0.3;

} // namespace

void stream_gaps::record(duration gap, std::uint64_t events, double step_factor)
{
    double const ms =
        std::chrono::duration<double, std::milli>(gap).count() / step_factor;
    // False for a value that is not a number.
    bool const is_possible = ms >= 0.0 && ms <= max_gap_ms && events > 0;
    if (!is_possible) {
        skip();
        return;
    }
    auto const count = static_cast<double>(events);
    if (ms > together_ms) {
        m_kept.push_back({ms, count});
        m_is_last_kept = true;
    } else if (m_is_last_kept) {
        m_kept.back().ms += ms;
        m_kept.back().gaps += count;
    }
}

std::optional<double> stream_gaps::take()
{
    std::optional<double> result;
    if (m_kept.size() >= min_measured) {
        std::vector<double> ms;
        ms.reserve(m_kept.size());
        for (merged const& gap : m_kept) {
            ms.push_back(gap.ms / gap.gaps);
        }
        std::sort(ms.begin(), ms.end());
        double const lower =
            ms[std::max(min_close - 1, ms.size() / lower_bound_divisor)];
        double const shortest = ms[ms.size() / outlier_divisor];
        if (lower <= shortest * max_spread + max_jitter_ms) {
            result = lower;
        }
    }
    m_kept.clear();
    m_is_last_kept = false;
    return result;
}

double step_factor(std::uint32_t running, std::uint32_t slots)
{
    if (slots == 0) {
        return 1.0;
    }
    return 1.0
           + additional_step_share * std::min(running, slots)
                 / static_cast<double>(slots);
}

} // namespace caperjunction::routing
