#ifndef CAPERJUNCTION_ROUTING_HOST_WAIT_RULE_HPP
#define CAPERJUNCTION_ROUTING_HOST_WAIT_RULE_HPP

#include "model/time.hpp"
#include "routing/overload_rule.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace caperjunction::routing {

/// What a host does with a prompt that it hasn't sent yet.
enum class host_wait_decision : std::uint8_t
{
    /// It is sent to the best engine.
    accept,
    /// It waits at the host for an engine that has room.
    wait,
    /// It is refused, as without the queue.
    refuse,
};

/// Returns the longest time that a request with this latency target waits at
/// the host. A refused caller keeps most of its target for another attempt.
inline model::milliseconds max_host_wait(model::milliseconds target)
{
    constexpr int parts_of_target = 8;
    return target / parts_of_target;
}

/// Returns the shortest wait after which the forecast can be low enough.
///
/// The forecast decreases by at most 1 ms per ms of waiting, while its limit
/// decreases by `max_share` ms.
///
/// \pre `max_share` of the inputs is below 1.
inline model::milliseconds required_host_wait(overload_inputs const& inputs,
                                              overload_limits const& limits)
{
    double const share = max_share(inputs, limits).value_or(0.0);
    double const excess =
        static_cast<double>(inputs.forecast.count())
        - share * static_cast<double>((inputs.target - inputs.elapsed).count());
    return model::milliseconds(static_cast<std::int64_t>(
        std::ceil(std::max(0.0, excess) / (1.0 - share))));
}

/// Decides on a prompt. `wait_left`: how much longer it may wait;
/// `is_behind_others`: requests wait that it must not overtake.
///
/// Requests with a limit of their whole target or more, or without one, are
/// decided as without the queue: their wait uses up as much of the target as it
/// reduces the forecast.
inline host_wait_decision decide_host_wait(overload_inputs const& inputs,
                                           model::milliseconds wait_left,
                                           bool is_behind_others,
                                           overload_limits const& limits = {})
{
    bool const has_room = !overload_retry_after(inputs, limits);
    if (max_share(inputs, limits).value_or(1.0) >= 1.0) {
        return has_room ? host_wait_decision::accept
                        : host_wait_decision::refuse;
    }
    // A request that can't wait any longer has the earliest latest start.
    if (has_room && (!is_behind_others || wait_left.count() <= 0)) {
        return host_wait_decision::accept;
    }
    bool const may_wait = wait_left.count() > 0
                          && required_host_wait(inputs, limits) <= wait_left;
    return may_wait ? host_wait_decision::wait : host_wait_decision::refuse;
}

} // namespace caperjunction::routing

#endif
