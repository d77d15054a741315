#include "routing/placement_cost.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::routing {

double lateness(picker_settings const& weights,
                double forecast_ms,
                model::milliseconds target)
{
    double const share =
        forecast_ms / std::max(1.0, static_cast<double>(target.count()));
    double const late = std::max(
        0.0, (share - weights.safe_share) / (1.0 - weights.safe_share));
    return late + std::max(0.0, share - 1.0) * weights.cost_per_missed_target;
}

double cost_of_uncached_token(picker_settings const& weights,
                              std::vector<upstream_ptr> const& usable,
                              model::milliseconds target)
{
    double pending = 0.0;
    for (upstream_ptr const& item : usable) {
        pending += static_cast<double>(item->pending_prefill_tokens());
    }
    double const wait_ms = pending / weights.tokens_per_ms
                           / std::max(1.0, static_cast<double>(usable.size()));
    double const allowed =
        static_cast<double>(target.count()) * weights.share_when_behind;
    double const behind =
        std::clamp(wait_ms / std::max(1.0, allowed), 0.0, 1.0);
    return (1.0 - behind) / weights.uncached_tokens_when_idle
           + behind / weights.uncached_tokens_when_behind;
}

double slot_wait_ms(picker_settings const& weights,
                    upstream_state const& candidate,
                    model::milliseconds load_age)
{
    // Scale of a logistic distribution with a standard deviation of 1.
    constexpr double unit_scale = 0.55;
    double const slots = std::max(1U, candidate.description.slots);
    double const excess = candidate.running() + 1.0 - slots;
    double const changed = slots * static_cast<double>(load_age.count())
                           / weights.stream_duration_ms;
    double const scale = unit_scale * std::sqrt(2.0 * std::max(changed, 0.1));
    // Mean of the positive part of the excess; in this form it can't overflow.
    double const expected =
        std::max(0.0, excess)
        + scale * std::log1p(std::exp(-std::abs(excess) / scale));
    return expected / slots * weights.stream_duration_ms;
}

double gap_share(pick_request const& request,
                 model::milliseconds longest_gap,
                 picker_settings const& weights)
{
    double const target =
        static_cast<double>(request.route->max_event_gap.count());
    if (target <= 0.0) {
        return 0.0;
    }
    double const share = static_cast<double>(longest_gap.count()) / target;
    return std::clamp((share - weights.safe_gap_share)
                          / (1.0 - weights.safe_gap_share),
                      0.0,
                      1.0);
}

} // namespace caperjunction::routing
