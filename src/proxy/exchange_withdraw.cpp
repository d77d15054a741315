#include "proxy/exchange.hpp"

#include "routing/recent_slowdown.hpp"

namespace caperjunction::proxy {

using routing::attempt_end;
using routing::withdrawal_result;

// Requests that may not be repeated get no timer: a closed connection doesn't
// prove that they haven't run.
void exchange::arm_withdrawal_timer()
{
    m_context.loop.cancel(m_withdrawal_timer);
    bool const is_eligible = m_context.settings.withdraw_unstarted
                             && m_route->repeatable()
                             && m_state.sent + 1 < m_route->max_attempts
                             && m_events == 0 && !m_report.is_withdrawn;
    if (is_eligible) {
        check_withdrawal_after(
            routing::overdue_after(m_pick.forecast, m_route->latency_target));
    }
}

void exchange::check_withdrawal_after(model::milliseconds delay)
{
    auto const weak = weak_from_this();
    m_withdrawal_timer = m_context.loop.after(delay, [weak] {
        if (auto const self = weak.lock()) {
            self->check_withdrawal();
        }
    });
}

void exchange::check_withdrawal()
{
    bool const has_begun = m_head_at || m_has_begun;
    if (m_ended || has_begun || !m_connection || !m_sink.is_connected()) {
        return;
    }
    // Until then, the connect timeout decides.
    if (m_connection->has_sent()) {
        auto const result = routing::decide_withdrawal(withdrawal_inputs());
        if (result == withdrawal_result::withdrawn) {
            withdraw();
            return;
        }
        m_report.not_withdrawn = routing::to_string(result);
    }
    check_withdrawal_after(routing::repeat_after(m_pick.forecast));
}

routing::withdrawal_inputs exchange::withdrawal_inputs()
{
    auto const now = m_context.loop.now();
    routing::withdrawal_inputs inputs;
    inputs.elapsed =
        std::chrono::duration_cast<model::milliseconds>(now - m_sent_at);
    inputs.forecast = m_pick.forecast;
    inputs.target = m_route->latency_target;
    inputs.time_left =
        std::chrono::duration_cast<model::milliseconds>(m_deadline - now);
    inputs.is_stopping = m_context.is_stopping;
    inputs.is_trial = !m_trial.parts.empty();
    inputs.has_retry = can_retry(attempt_end::withdrawn) && is_still_admitted();
    if (inputs.has_retry) {
        inputs.alternative = forecast_elsewhere();
    }
    return inputs;
}

// The same choice as that of the next attempt. An engine where the request
// would have to wait for another one's trial, or be one, is not considered.
std::optional<model::milliseconds> exchange::forecast_elsewhere()
{
    auto const other = choose();
    bool const is_free =
        other.to && other.to != m_upstream
        && judge_parts(other.to->software) == routing::part_judgement::free;
    if (!is_free) {
        return std::nullopt;
    }
    double const slowdown =
        routing::recent_slowdown(m_context.directory.of_service(m_service),
                                 *m_upstream,
                                 m_sent_at,
                                 m_context.loop.now());
    return routing::forecast_at_other(other, slowdown);
}

void exchange::withdraw()
{
    m_report.is_withdrawn = true;
    m_report.not_withdrawn = {};
    m_load.record_withdrawn(m_context.loop.now());
    attempt_ended(attempt_end::withdrawn);
}

} // namespace caperjunction::proxy
