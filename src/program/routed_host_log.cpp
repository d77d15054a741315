#include "program/hex_list.hpp"
#include "program/routed_host.hpp"
#include "runtime/log_line.hpp"

#include <cmath>
#include <string_view>

namespace caperjunction::program {

void routed_host::report_requests()
{
    m_context.on_ended = [this](proxy::exchange_report const& ended) {
        log_ended(ended);
        m_metrics.count(ended);
    };
    m_context.on_connection_ended =
        [this](proxy::connection_report const& ended) {
            log_connection(ended);
            m_metrics.count(ended);
        };
    m_context.on_loop_late = [this](model::milliseconds late) {
        runtime::log_line("loop_late").field("late_ms", late.count());
        m_metrics.count_late(late);
    };
    m_context.team_shares.on_over_share =
        [](proxy::over_share_report const& changed) {
            log_over_share(changed);
        };
    report_upstreams();
    report_parts();
    m_context.on_retried = [this](proxy::exchange_report const& tried) {
        log_retried(tried);
    };
}

void routed_host::report_upstreams()
{
    m_context.on_limit_changed = [this](routing::upstream_state const& state) {
        log_limit(state);
    };
    m_context.on_rejection_limit_changed =
        [this](routing::upstream_state const& state) {
            log_rejection_limit(state);
        };
    m_context.on_reach_changed = [this](proxy::reach_report const& changed) {
        log_reach(changed);
    };
    m_context.on_cold = [this](routing::upstream_state const& state,
                               model::milliseconds remaining) {
        log_cold(state, remaining);
    };
    m_context.on_speed_changed = [](routing::upstream_state const& state,
                                    double reference_ms) {
        runtime::log_line("upstream_speed_changed")
            .field("upstream", state.description.id)
            .field("service", state.description.service)
            .field("speed", routing::to_string(state.speed))
            .field("gap_ms", std::llround(state.speed_measured.gap_ms()))
            .field("typical_gap_ms", std::llround(reference_ms));
    };
    m_context.on_limit_unreadable = [](routing::upstream_state const& from,
                                       std::string const& text) {
        runtime::log_line("upstream_limit_unreadable")
            .field("upstream", from.description.id)
            .field("text", text);
    };
    m_context.on_leaving = [this](routing::upstream_state const& state,
                                  bool is_own) {
        log_leaving(state, is_own);
    };
    m_context.on_paused = [this](routing::upstream_state const& state,
                                 model::milliseconds pause) {
        log_paused(state, pause);
    };
    m_context.on_notice_unreadable = [](routing::upstream_state const& from,
                                        std::string const& header,
                                        std::string const& value) {
        runtime::log_line("upstream_notice_unreadable")
            .field("upstream", from.description.id)
            .field("header", header)
            .field("text", value);
    };
}

void routed_host::log_over_share(proxy::over_share_report const& changed)
{
    runtime::log_line("team_over_share")
        .field("service", changed.service)
        .field("team", changed.team)
        .field("state", changed.is_above ? "begin" : "end")
        .field("team_asked", std::llround(changed.team_asked))
        .field("team_level", std::llround(changed.level))
        .field("asked", std::llround(changed.asked))
        .field("admitted", std::llround(changed.admitted));
}

void routed_host::log_retried(proxy::exchange_report const& retried)
{
    runtime::log_line("request_retried")
        .field("id", retried.id)
        .field("route", retried.route)
        .field("service", retried.service)
        .field("last_try", retried.last_attempt)
        .field("upstream", retried.upstream)
        .field("sent", retried.sent)
        .field("unreached", retried.unreached)
        .field("events", retried.events)
        .field("version", retried.last_version)
        .field("forecast_ms", retried.forecast.count())
        .field("waited_ms", retried.since_sent.count())
        .field("running", retried.running)
        .field("unread_tokens", retried.pending_prefill_tokens)
        .field("budget_left", retried.budget_left)
        .field("total_ms", retried.total.count());
}

void routed_host::log_ended(proxy::exchange_report const& ended)
{
    runtime::log_line line("request_ended");
    line.field("id", ended.id)
        .field("route", ended.route)
        .field("service", ended.service)
        .field("team", ended.team)
        .field("status", ended.status)
        .field("outcome", ended.outcome)
        .field("reason", ended.reason)
        .field("requests",
               ids_of(ended.refused_parts, routing::part_kind::request))
        .field("parts", ids_of(ended.refused_parts, routing::part_kind::prompt))
        .field("last_try", ended.last_attempt)
        .field("withdrawn", ended.is_withdrawn ? 1 : 0)
        .field("not_withdrawn", ended.not_withdrawn)
        .field("upstream", ended.upstream)
        .field("through", ended.through)
        .field("sent", ended.sent)
        .field("unreached", ended.unreached)
        .field("candidates", ended.candidates)
        .field("forecast_ms", ended.forecast.count())
        .field("cold_tokens", ended.uncached_tokens)
        .field("running", ended.running)
        .field("unread_tokens", ended.pending_prefill_tokens)
        .field("slowness", ended.performance.slowdown)
        .field("paused_ms", ended.performance.longest_gap.count())
        .field("tokens_per_ms", ended.tokens_per_ms)
        .field("event_gap_forecast_ms", ended.event_gap_forecast.count())
        .field("more_urgent_share", ended.more_urgent_share)
        .field("tokens_ahead", std::llround(ended.tokens_ahead))
        .field("lane", ended.reserved_engines)
        .field("limited", ended.limited)
        .field("share", routing::to_string(ended.share.result))
        .field("team_asked", std::llround(ended.share.team_asked))
        .field("team_level", std::llround(ended.share.level))
        .field("asked", std::llround(ended.share.asked))
        .field("admitted", std::llround(ended.share.admitted))
        .field("excess_limit", ended.share.excess_limit)
        .field("host_wait_ms", ended.host_wait.count())
        .field("first_byte_ms", ended.first_byte.count())
        .field("total_ms", ended.total.count())
        .field("ended_by", ended.ended_by)
        .field("unsent_bytes", ended.unsent_bytes)
        .field("since_stop_ms", ended.since_stop.count())
        .field("events", ended.events)
        .field("takes_up", ended.takes_up)
        .field("resumes", ended.resumed_id)
        .field("resumed_here", ended.resumed)
        .field("first_version", ended.first_version)
        .field("last_version", ended.last_version)
        .field("framing", ended.framing)
        .field("partial_event_bytes", ended.partial_event_bytes)
        .field("longest_pause_ms", ended.longest_gap.count())
        .field("on_time", ended.on_time)
        .field("config_version", ended.config_version)
        .field("config_age_ms", ended.config_age.count());
}

void routed_host::log_connection(proxy::connection_report const& ended)
{
    if (!ended.is_loss()) {
        return;
    }
    runtime::log_line("connection_lost")
        .field("id", ended.id)
        .field("by", proxy::to_string(ended.end))
        .field("during", ended.activity)
        .field("unsent_bytes", ended.unsent_bytes)
        .field("late_bytes", ended.late_bytes)
        .field("since_ms", ended.elapsed.count())
        .field("since_stop_ms", m_context.since_stop().count());
}

void routed_host::log_fetch(fetch_report const& ended)
{
    runtime::log_line("peer_list_ended")
        .field("from", ended.from.address)
        .field("path", ended.path)
        .field("since", ended.since)
        .field("outcome", ended.outcome)
        .field("status", ended.status)
        .field("bytes", ended.progress.bytes)
        .field("total_ms", ended.progress.total.count())
        .field("quiet_ms", ended.progress.idle.count())
        .field("upstreams_revision", m_context.known.upstreams.revision)
        .field("upstreams_era", m_context.known.upstreams.era)
        .field("config_version", m_context.known.configuration);
}

void routed_host::log_limit(routing::upstream_state const& state)
{
    bool const was_received_here =
        state.own_limit.received_at == state.limit.notice().received_at;
    std::string_view const source = was_received_here ? "here" : "from_peers";
    if (!state.limit.is_limited()) {
        runtime::log_line("upstream_limit_ended")
            .field("upstream", state.description.id)
            .field("service", state.description.service)
            .field("heard", source);
        return;
    }
    routing::limit_share const& share = state.limit.share();
    runtime::log_line("upstream_limited")
        .field("upstream", state.description.id)
        .field("service", state.description.service)
        .field("heard", source)
        .field("a_second", *state.limit.notice().requests_per_second)
        .field("rank", share.rank)
        .field("hosts", share.hosts)
        .field("is_among_them", share.participates);
}

void routed_host::log_rejection_limit(routing::upstream_state const& state)
{
    auto const limit = state.rejections.rejections_per_second();
    if (!limit) {
        runtime::log_line("rejection_limit_ended")
            .field("upstream", state.description.id)
            .field("service", state.description.service);
        return;
    }
    runtime::log_line("rejections_limited")
        .field("upstream", state.description.id)
        .field("service", state.description.service)
        .field("a_second", *limit);
}

void routed_host::log_leaving(routing::upstream_state const& state, bool is_own)
{
    runtime::log_line("upstream_leaving")
        .field("upstream", state.description.id)
        .field("service", state.description.service)
        .field("heard", is_own ? "here" : "from_peers");
}

void routed_host::log_paused(routing::upstream_state const& state,
                             model::milliseconds pause)
{
    runtime::log_line("upstream_paused")
        .field("upstream", state.description.id)
        .field("service", state.description.service)
        .field("for_ms", pause.count())
        .field("through",
               state.paused_through ? state.paused_through->address : "");
}

void routed_host::log_reach(proxy::reach_report const& changed)
{
    if (changed.is_lost) {
        runtime::log_line("upstreams_lost")
            .field("service", changed.service)
            .field("upstreams", changed.upstreams)
            .field("peers", changed.peers);
        return;
    }
    runtime::log_line("upstreams_regained")
        .field("service", changed.service)
        .field("lost_ms", changed.lost_for.count());
}

void routed_host::log_cold(routing::upstream_state const& state,
                           model::milliseconds remaining)
{
    routing::upstream_limit const& limit = state.cold.limit();
    runtime::log_line("upstream_cold")
        .field("upstream", state.description.id)
        .field("service", state.description.service)
        .field("for_ms", remaining.count())
        .field("a_second", limit.notice().requests_per_second.value_or(0.0))
        .field("rank", limit.share().rank)
        .field("hosts", limit.share().hosts)
        .field("is_among_them", limit.share().participates);
}

} // namespace caperjunction::program
