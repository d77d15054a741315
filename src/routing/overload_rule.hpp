#ifndef CAPERJUNCTION_ROUTING_OVERLOAD_RULE_HPP
#define CAPERJUNCTION_ROUTING_OVERLOAD_RULE_HPP

#include "model/time.hpp"

#include <algorithm>
#include <optional>

namespace caperjunction::routing {

/// What decides whether a prompt is taken under overload.
struct overload_inputs
{
    /// Time to its first event at the best engine.
    model::milliseconds forecast{0};
    model::milliseconds target{0};
    /// No route of prompts ranks higher, or lower.
    bool is_most_urgent = false;
    bool is_least_urgent = false;
};

/// How far engines may be behind, as shares of the latency target.
struct overload_limits
{
    /// Forecasts are short under overload: a prompt of the least urgent kind
    /// that is expected later than this is late.
    double max_share_least_urgent = 0.6;
    /// Engines take the more urgent first: those wait for less than is
    /// forecast.
    double max_share_medium_urgency = 1.25;
    /// Bounds of the time after which a caller is told to come back.
    model::milliseconds min_retry_after{300};
    model::milliseconds latest{2'000};
};

/// When a prompt that is not taken should come back; nothing if it is taken.
///
/// Made for bursts of long prompts beyond what all engines together read.
/// Taken all the same, they queue until each is late, and engines that read
/// without pause make an event of every stream last ten times as long, so
/// that streams in their middle run into their timeouts: more is read and
/// less is answered. The least urgent are turned away first, as long as
/// nothing of them is on an engine, and told when the queue will have shrunk.
inline std::optional<model::milliseconds>
overload_retry_after(overload_inputs const& inputs,
                     overload_limits const& limits = {})
{
    if (inputs.is_most_urgent) {
        return std::nullopt;
    }
    double const share = inputs.is_least_urgent
                             ? limits.max_share_least_urgent
                             : limits.max_share_medium_urgency;
    auto const allowed =
        std::chrono::duration_cast<model::milliseconds>(inputs.target * share);
    if (inputs.forecast <= allowed) {
        return std::nullopt;
    }
    return std::clamp(
        inputs.forecast - allowed, limits.min_retry_after, limits.latest);
}

} // namespace caperjunction::routing

#endif
