#ifndef CAPERJUNCTION_ROUTING_OVERLOAD_RULE_HPP
#define CAPERJUNCTION_ROUTING_OVERLOAD_RULE_HPP

#include "model/time.hpp"
#include "routing/excess_limit.hpp"
#include "routing/request_share.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace caperjunction::routing {

/// Inputs of the decision whether to accept a prompt under overload.
struct overload_inputs
{
    /// Time to the first event at the best engine.
    model::milliseconds forecast{0};
    model::milliseconds target{0};
    /// Time since the request arrived, which a forecast below the target has to
    /// leave room for; zero without the host queue.
    model::milliseconds elapsed{0};
    /// No route with prompts has a higher, or a lower, urgency.
    bool is_most_urgent = false;
    bool is_least_urgent = false;
    share_result share = share_result::none;
    /// Fraction of the team's requests that is within its share.
    double fraction_within = 1.0;
    /// Maximum forecast of excess as a share of the target, of `excess_limit`.
    double excess_limit = routing::excess_limit::highest;
    std::uint64_t request_hash = 0;
};

/// Maximum forecast delays as shares of the latency target, and bounds of the
/// retry delay.
struct overload_limits
{
    /// Forecasts are too short under overload: a least urgent prompt with a
    /// forecast above this share misses its target.
    double max_share_least_urgent = 0.6;
    /// Engines serve more urgent prompts first, so these wait for less time
    /// than forecast.
    double max_share_medium_urgency = 1.25;
    /// Bounds of the delay that a refused caller is given.
    model::milliseconds min_retry_after{300};
    model::milliseconds latest{2'000};
};

/// Returns the longest forecast with which a prompt is accepted, as a share of
/// its latency target; nothing if it is accepted with any.
inline std::optional<double> max_share(overload_inputs const& inputs,
                                       overload_limits const& limits = {})
{
    if (inputs.is_most_urgent) {
        return std::nullopt;
    }
    // An excess prompt of medium urgency is refused only once no excess of the
    // least urgency is accepted.
    double const usual = inputs.is_least_urgent
                             ? limits.max_share_least_urgent
                             : limits.max_share_medium_urgency;
    if (inputs.share != share_result::excess) {
        return usual;
    }
    bool const applies = inputs.is_least_urgent || inputs.excess_limit <= 0.0;
    return applies ? std::min(usual, inputs.excess_limit) : usual;
}

/// Returns the longest forecast with which a prompt is accepted; nothing if it
/// is accepted with any.
inline std::optional<model::milliseconds>
max_forecast(overload_inputs const& inputs, overload_limits const& limits = {})
{
    auto const share = max_share(inputs, limits);
    if (!share) {
        return std::nullopt;
    }
    // From a share of 1 on, a wait doesn't help, so the limit of such requests
    // is the same with and without the host queue.
    auto const left =
        inputs.target - (*share < 1.0 ? inputs.elapsed : inputs.elapsed.zero());
    return std::chrono::duration_cast<model::milliseconds>(left * *share);
}

/// Returns the retry delay of a prompt beyond its team's share: longer the more
/// the team exceeds it, and different for each request, so that they don't
/// return together.
inline model::milliseconds excess_retry_after(overload_inputs const& inputs,
                                              overload_limits const& limits)
{
    constexpr std::uint64_t spread_steps = 1'024;
    double const spread =
        static_cast<double>(inputs.request_hash % spread_steps) / spread_steps;
    double const excess = 1.0 - std::clamp(inputs.fraction_within, 0.0, 1.0);
    double const longest =
        static_cast<double>((limits.latest - limits.min_retry_after).count());
    return limits.min_retry_after
           + model::milliseconds(static_cast<std::int64_t>(
               longest * excess * (0.5 + 0.5 * spread)));
}

/// Returns the retry delay of a prompt that is refused because of overload;
/// nothing if it is accepted.
///
/// Answers bursts of long prompts that exceed the capacity of all engines
/// together. If all were accepted, each would be late, and engines that read
/// prompts without a break would delay their running streams beyond their
/// timeouts. The least urgent prompts are refused first, before any engine has
/// received them, with the time until the queue is short enough. Requests
/// beyond their teams' shares are refused before all others of the same
/// urgency, from the excess limit on.
inline std::optional<model::milliseconds>
overload_retry_after(overload_inputs const& inputs,
                     overload_limits const& limits = {})
{
    auto const allowed = max_forecast(inputs, limits);
    if (!allowed || inputs.forecast <= *allowed) {
        return std::nullopt;
    }
    if (inputs.share == share_result::excess) {
        return excess_retry_after(inputs, limits);
    }
    return std::clamp(
        inputs.forecast - *allowed, limits.min_retry_after, limits.latest);
}

} // namespace caperjunction::routing

#endif
