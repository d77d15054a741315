#include "proxy/exchange.hpp"

#include "proxy/team_share_updates.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {

// Refused requests count too: what a team asks must not depend on what it gets.
void exchange::record_asked()
{
    routing::prompt const& prompt = m_metadata.prompt;
    if (m_is_asked_recorded || prompt.tokens == 0) {
        return;
    }
    m_is_asked_recorded = true;
    std::uint32_t const shared = prompt.shared_tokens();
    m_report.asked_tokens =
        prompt.own_tokens()
        + (m_pick.to ? std::min(m_pick.uncached_tokens, shared) : shared);
    m_report.share = share_of_request(
        m_context, m_service, m_team, request_hash(), !m_is_most_urgent);
    if (!m_team.empty()) {
        m_context.team_shares.meter.record_asked(
            m_service, m_team, m_report.asked_tokens, m_context.loop.now());
    }
}

// The capacity that is shared is what can be served in time.
void exchange::record_admitted()
{
    if (!m_is_asked_recorded || m_report.is_admitted) {
        return;
    }
    m_report.is_admitted = true;
    bool const is_in_time =
        m_is_most_urgent || m_pick.forecast <= m_route->latency_target;
    if (m_team.empty() || !is_in_time) {
        return;
    }
    m_is_counted_in_time = !m_is_most_urgent;
    m_context.team_shares.meter.record_admitted(
        m_service, m_team, m_report.asked_tokens, m_context.loop.now());
}

// Called with the first byte, or at the end of a request without one.
void exchange::record_if_late()
{
    auto const now = m_context.loop.now();
    if (std::exchange(m_is_counted_in_time, false)
        && now - m_arrived > m_route->latency_target) {
        m_context.team_shares.meter.record_late(
            m_service, m_team, m_report.asked_tokens, now);
    }
}

// Excess is reported as such also beyond the limit of all requests.
void exchange::refuse_overload(model::milliseconds retry_after)
{
    bool const is_excess =
        m_report.share.result == routing::share_result::excess;
    refuse(is_excess ? reason_code::over_share : reason_code::too_late,
           retry_after);
}

} // namespace caperjunction::proxy
