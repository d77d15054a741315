#ifndef CAPERJUNCTION_ROUTING_WITHDRAWAL_RULE_HPP
#define CAPERJUNCTION_ROUTING_WITHDRAWAL_RULE_HPP

#include "model/time.hpp"
#include "routing/pick.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace caperjunction::routing {

/// Result of a decision whether to withdraw a request from its engine.
enum class withdrawal_result : std::uint8_t
{
    not_overdue,
    /// The host is stopping.
    stopping,
    /// It is the trial of a part that may crash engines.
    trial,
    /// The attempts of the route or the retry budget are exhausted.
    no_retry,
    /// No other engine may get it.
    no_engine,
    /// No other engine is expected to start it before its deadline.
    too_late,
    /// No other engine is expected to start it much sooner.
    not_better,
    withdrawn,
};

/// Returns a stable name for logs.
inline std::string_view to_string(withdrawal_result result)
{
    constexpr std::array<std::string_view, 8> names{"not_overdue",
                                                    "stopping",
                                                    "trial",
                                                    "no_retry",
                                                    "no_engine",
                                                    "too_late",
                                                    "not_better",
                                                    "withdrawn"};
    return names[static_cast<std::size_t>(result)];
}

/// Inputs of the decision for a request that may be repeated and whose engine
/// has not begun to answer.
struct withdrawal_inputs
{
    /// Since it was sent to its engine.
    model::milliseconds elapsed{0};
    /// Time to the first event at its engine, as of the placement.
    model::milliseconds forecast{0};
    model::milliseconds target{0};
    /// From now to the deadline of its caller.
    model::milliseconds time_left{0};
    /// Time to the first event at the best other engine; no value: there is
    /// none.
    std::optional<model::milliseconds> alternative;
    /// Attempts and retry budget allow one more attempt.
    bool has_retry = false;
    bool is_trial = false;
    bool is_stopping = false;
};

/// Bounds of the withdrawal of requests.
struct withdrawal_limits
{
    /// A request is overdue from this multiple of its forecast and this share
    /// of its target on. Shorter waits are within the error of forecasts.
    int overdue_forecasts = 2;
    double overdue_share_of_target = 0.5;
    /// Maximum forecast of another engine as a share of what is still expected
    /// at this one. A withdrawal discards the position in the queue.
    double max_share_of_wait = 0.5;
    /// For the new connection and the way of the answer to the caller; the same
    /// as the time that hosts reserve for a final answer.
    model::milliseconds margin{20};
    model::milliseconds min_repeat{100};
};

/// Returns the time after sending from which a request is overdue.
inline model::milliseconds overdue_after(model::milliseconds forecast,
                                         model::milliseconds target,
                                         withdrawal_limits const& limits = {})
{
    return std::max(forecast * limits.overdue_forecasts,
                    std::chrono::ceil<model::milliseconds>(
                        target * limits.overdue_share_of_target));
}

/// Returns the forecast of another engine, with the slowdown that requests at
/// other engines show now: see `recent_slowdown`.
inline model::milliseconds forecast_at_other(pick const& other,
                                             double recent_slowdown)
{
    return std::max(other.forecast,
                    std::chrono::duration_cast<model::milliseconds>(
                        other.nominal_forecast * recent_slowdown));
}

/// Returns the time after which a decision against a withdrawal is repeated.
inline model::milliseconds repeat_after(model::milliseconds forecast,
                                        withdrawal_limits const& limits = {})
{
    return std::max(forecast, limits.min_repeat);
}

/// Decides whether a request is withdrawn from its engine and sent to the best
/// other one.
///
/// A queue that has taken `elapsed` is expected to take as long again: the
/// forecast no longer describes it.
inline withdrawal_result decide_withdrawal(withdrawal_inputs const& inputs,
                                           withdrawal_limits const& limits = {})
{
    if (inputs.elapsed
        < overdue_after(inputs.forecast, inputs.target, limits)) {
        return withdrawal_result::not_overdue;
    }
    if (inputs.is_stopping) {
        return withdrawal_result::stopping;
    }
    if (inputs.is_trial) {
        return withdrawal_result::trial;
    }
    if (!inputs.has_retry) {
        return withdrawal_result::no_retry;
    }
    // A negative forecast is no measurement.
    if (!inputs.alternative || inputs.alternative->count() < 0) {
        return withdrawal_result::no_engine;
    }
    if (*inputs.alternative + limits.margin > inputs.time_left) {
        return withdrawal_result::too_late;
    }
    auto const expected = std::max(inputs.forecast, inputs.elapsed);
    return *inputs.alternative <= expected * limits.max_share_of_wait
               ? withdrawal_result::withdrawn
               : withdrawal_result::not_better;
}

} // namespace caperjunction::routing

#endif
