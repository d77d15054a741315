#include "proxy/exchange.hpp"

#include "routing/overload_rule.hpp"

#include <xxhash.h>

namespace caperjunction::proxy {

routing::pick_request exchange::pick_request()
{
    routing::pick_request request;
    request.route = m_route;
    request.prompt = &m_facts.prompt;
    request.service = m_service;
    request.body_bytes = m_body.size();
    request.attempted = &m_tried;

    request.is_most_urgent = m_is_most_urgent;
    request.urgent_streams = m_context.fleet_urgent_streams(m_service);
    return request;
}

// Silence isn't failure: the present upstream may still answer, and is left
// only for one that can.
bool exchange::has_other_place()
{
    auto const other =
        m_context.picker.choose(pick_request(), m_context.loop.now());
    return other.to && other.to != m_upstream && other.forecast < time_left();
}

routing::pick exchange::choose()
{
    auto const request = pick_request();
    routing::pick chosen =
        m_context.picker.choose(request, m_context.loop.now());
    if (chosen.to) {
        m_context.picker.record_sent(request, *chosen.to, m_context.loop.now());
    }
    return chosen;
}

// The same path, caller and body come again under a new id.
std::uint64_t exchange::fingerprint()
{
    if (m_fingerprint == 0) {
        m_fingerprint = XXH3_64bits(m_body.data(), m_body.size())
                        ^ XXH3_64bits(m_facts.path.data(), m_facts.path.size())
                        ^ XXH3_64bits(m_facts.key.data(), m_facts.key.size());
    }
    return m_fingerprint;
}

bool exchange::is_quarantined()
{
    if (m_context.suspects.is_empty() && m_context.peers.has_no_crashes()) {
        return false;
    }
    return m_context.suspects.crashes_of(fingerprint(), m_context.loop.now())
               + m_context.peers.crashes_of(fingerprint())
           >= routing::crash_suspects::max_crashes;
}

std::optional<model::milliseconds> exchange::comes_back_after() const
{
    if (m_facts.prompt.tokens == 0) {
        return std::nullopt;
    }
    routing::overload_inputs facts;
    facts.forecast = m_pick.forecast;
    facts.target = m_route->latency_target;
    facts.is_most_urgent = m_is_most_urgent;
    facts.is_least_urgent = m_is_least_urgent;
    return routing::overload_retry_after(facts);
}

void exchange::place()
{
    m_pick = choose();
    if (!m_pick.to) {
        refuse_unplaced();
        return;
    }
    if (m_pick.forecast > time_left() && !may_have_run()) {
        refuse(step::too_late);
        return;
    }
    auto const comes_back = comes_back_after();
    if (comes_back && !may_have_run()) {
        refuse(step::too_late, comes_back);
        return;
    }
    if (is_quarantined()) {
        refuse(may_have_run() ? step::upstream_failed : step::quarantined);
        return;
    }
    send_to(m_pick);
}

void exchange::refuse_unplaced()
{
    if (may_have_run()) {
        refuse(step::upstream_failed);
        return;
    }
    if (m_pick.limited == 0) {
        refuse(step::no_upstream);
        return;
    }
    refuse(step::limited, m_pick.retry_after);
}

} // namespace caperjunction::proxy
