#include "proxy/exchange.hpp"

#include "proxy/stream_software.hpp"
#include "proxy/tunnel_candidates.hpp"
#include "proxy/upstream_paths.hpp"

#include "routing/overload_rule.hpp"

#include <xxhash.h>

#include <algorithm>

namespace caperjunction::proxy {

routing::pick_request exchange::pick_request()
{
    routing::pick_request request;
    request.route = m_route;
    request.prompt = &m_metadata.prompt;
    request.service = m_service;
    request.body_bytes = m_body.size();
    request.attempted = &m_attempted;
    request.homes = &m_homes;
    request.kept_from = &m_kept_from;
    request.only = m_trial.only_upstream;
    request.software = m_software;
    request.is_software_certain = [this](routing::upstream_state const& state) {
        return is_software_certain(m_context, state);
    };
    if (!m_context.lost_services.empty()) {
        request.is_paused_on_way =
            [this](routing::upstream_state const& state) {
                return is_paused_on_way(m_context, m_homes, state);
            };
    }
    if (m_context.settings.prefer_idle_connections) {
        request.has_idle_connection =
            [this](routing::upstream_state const& state) {
                return m_context.pool.has_idle(state);
            };
    }
    request.request_hash = request_hash();
    request.is_most_urgent = m_is_most_urgent;
    request.rank = m_rank;
    auto const ranks = m_context.rank_loads.find(m_service);
    if (ranks != m_context.rank_loads.end()) {
        request.rank_loads = &ranks->second;
    }
    request.subset_key = m_context.settings.engine_subset
                             ? m_context.subset_key()
                             : std::nullopt;
    request.urgent_streams =
        m_context.urgent_demand.expected_streams(m_service);
    request.urgent_tokens_per_second =
        m_context.urgent_demand.expected_tokens_per_second(m_service);
    request.urgent_event_gap =
        m_context.table ? m_context.table->urgent_event_gap(m_service)
                        : model::milliseconds{0};
    routing::service const* const service =
        m_context.table ? m_context.table->find_service(m_service) : nullptr;
    request.kv_cache_tokens = service ? service->kv_cache_tokens : 0;
    request.by_capacity = m_context.settings.placement_by_capacity;
    request.hosts = m_context.peers.alive() + 1;
    request.load_age = m_context.peers.max_load_age();
    return request;
}

std::uint64_t exchange::request_hash() const
{
    return XXH3_64bits(m_metadata.id.data(), m_metadata.id.size());
}

// A silent upstream may still answer. It is abandoned only if another one can
// answer in time.
bool exchange::has_alternative()
{
    auto const other =
        m_context.picker.choose(pick_request(), m_context.loop.now());
    return other.to && other.to != m_upstream && other.forecast < time_left();
}

routing::pick exchange::choose()
{
    return m_context.picker.choose(pick_request(), m_context.loop.now());
}

routing::overload_inputs exchange::overload_inputs() const
{
    routing::overload_inputs inputs;
    inputs.forecast = m_pick.forecast;
    inputs.target = m_route->latency_target;
    inputs.elapsed = elapsed_for_overload();
    inputs.is_most_urgent = m_is_most_urgent;
    inputs.is_least_urgent = m_is_least_urgent;
    inputs.share = m_report.share.result;
    inputs.fraction_within = m_report.share.fraction_within;
    inputs.excess_limit = m_report.share.excess_limit;
    inputs.request_hash = request_hash();
    return inputs;
}

std::optional<model::milliseconds> exchange::overload_retry_after() const
{
    if (m_metadata.prompt.tokens == 0) {
        return std::nullopt;
    }
    return routing::overload_retry_after(overload_inputs());
}

void exchange::place()
{
    m_kept_from = kept_from();
    m_pick = choose();
    record_asked();
    if (!m_pick.to) {
        refuse_unplaced();
        return;
    }
    trial_step const step = next_trial_step();
    if (step == trial_step::claim) {
        claim_trial();
        return;
    }
    if (step == trial_step::wait) {
        leave_host_queue();
        wait_for_verdict([this] {
            place();
        });
        return;
    }
    auto const retry_after = overload_retry_after();
    bool const is_refused_excess =
        retry_after && m_report.share.result == routing::share_result::excess;
    if (m_pick.forecast > time_left() && !may_have_run()
        && !is_refused_excess) {
        refuse(reason_code::too_late);
        return;
    }
    if (handle_host_wait()) {
        return;
    }
    if (retry_after && !may_have_run()) {
        refuse_overload(*retry_after);
        return;
    }
    if (step == trial_step::run) {
        begin_trial();
    }
    send_to(m_pick);
}

void exchange::refuse_unplaced()
{
    if (!m_kept_from.empty()) {
        refuse_for_parts();
        return;
    }
    bool const is_gone =
        m_software && !m_context.directory.has_software(m_service, *m_software);
    if (is_gone) {
        refuse(reason_code::version_gone);
        return;
    }
    if (may_have_run()) {
        refuse(reason_code::upstream_failed);
        return;
    }
    if (m_pick.limited == 0) {
        refuse(reason_code::no_upstream);
        return;
    }
    refuse(reason_code::limited, m_pick.retry_after);
}

} // namespace caperjunction::proxy
