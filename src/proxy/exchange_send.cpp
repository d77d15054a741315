#include "proxy/exchange.hpp"

#include "proxy/message_text.hpp"
#include "proxy/upstream_paths.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

using routing::attempt_end;

/// A non-streaming attempt without an answer after this many latency targets is
/// retried elsewhere. It is already late, and an upstream that dropped the
/// request would otherwise hold it until the caller's deadline.
constexpr int silence_targets = 1;
/// Streams are queued at the engine; only a multiple of the target
/// distinguishes silence from queueing.
constexpr int stream_silence_targets = 2;

void record_urgent_work(relay_context& context,
                        routing::pick_request const& sent,
                        routing::load_ticket const& load,
                        model::time_point now)
{
    if (context.settings.reserve_by_work && sent.is_most_urgent) {
        context.urgent_demand.record_sent(
            sent.service, load.pending_prefill_tokens(), now);
    }
}

} // namespace

model::milliseconds exchange::time_left() const
{
    // A stream is forwarded until the deadline itself.
    bool const is_stream = m_route->kind == routing::request_kind::stream;
    auto const margin = is_stream ? model::milliseconds{0} : return_margin;
    return std::chrono::duration_cast<model::milliseconds>(
        m_deadline - margin - m_context.loop.now());
}

// A key may have been revoked, or its regions changed, since the request
// arrived. The age of the configuration is not checked again: it was decided at
// admission.
bool exchange::is_still_admitted()
{
    auto const admitted = routing::admit(m_context.table.get(),
                                         m_context.keys,
                                         {m_metadata.authority,
                                          m_metadata.path,
                                          m_metadata.key,
                                          m_arrived_lease_time});
    if (admitted.route != nullptr) {
        m_homes = admitted.homes;
    }
    return !admitted.refused
           || *admitted.refused == routing::refusal_reason::no_route;
}

void exchange::send_to(routing::pick const& chosen)
{
    m_upstream = chosen.to;
    m_has_cleared_parts = false;
    m_has_connected = false;
    m_is_break_recorded = false;
    m_has_received = false;
    m_attempted.push_back(m_upstream->description.id);
    m_connection = m_context.pool.acquire(
        m_upstream,
        path_to_upstream(m_context, m_homes, *m_upstream, request_hash()));
    m_through = is_direct() ? std::string() : m_connection->peer()->address;
    m_resumed += m_events > 0 ? 1 : 0;
    m_sent_at = m_context.loop.now();
    if (is_direct()) {
        m_context.reach.record_sent(m_sent_at);
    }
    m_upstream->record_send(m_sent_at);
    record_admitted();
    auto const request = pick_request();
    m_context.picker.record_sent(request, *m_upstream, m_sent_at);
    m_load = routing::load_ticket(chosen, request, m_sent_at);
    record_urgent_work(m_context, request, m_load, m_sent_at);
    m_answer = {};
    m_head_at.reset();
    m_answer_body.clear();
    m_framer = {};
    m_is_stream = false;

    upstream_request added;
    added.instance = m_upstream->description.id;
    added.team = m_team;
    added.time_left = std::max(time_left(), model::milliseconds{1});
    added.rank = m_rank;
    added.last_event_id = m_last_event_id;
    std::string const text =
        request_text(m_head, m_body, m_context.names, added);
    arm_silence_timer(chosen);
    arm_withdrawal_timer();
    // The hooks keep the exchange alive while the connection may call them.
    auto const self = shared_from_this();
    m_connection->send(text,
                       is_head_request(),
                       m_context.settings.connect_timeout,
                       {[self](message_head&& head) {
                            self->handle_head(std::move(head));
                        },
                        [self](std::string_view bytes) {
                            self->handle_body(bytes);
                        },
                        [self] {
                            self->handle_end();
                        },
                        [self](answer_fault fault) {
                            self->handle_fault(fault);
                        },
                        [self] {
                            self->handle_connected();
                        }});
}

void exchange::arm_silence_timer(routing::pick const& chosen)
{
    m_context.loop.cancel(m_silence_timer);
    if (!m_route->repeatable() || m_state.sent + 1 >= m_route->max_attempts) {
        return;
    }
    int const targets = m_route->kind == routing::request_kind::stream
                            ? stream_silence_targets
                            : silence_targets;
    auto const wait =
        std::max(m_route->latency_target * targets, chosen.forecast * 2);
    auto const weak = weak_from_this();
    m_silence_timer = m_context.loop.after(wait, [weak] {
        auto const self = weak.lock();
        if (!self || self->m_ended || self->m_report.first_byte.count() >= 0) {
            return;
        }
        if (self->is_upstream_silent() && self->can_retry(attempt_end::silent)
            && self->is_still_admitted() && self->has_alternative()) {
            self->m_upstream->health.record_failure(self->m_context.loop.now());
            self->attempt_ended(attempt_end::silent);
            return;
        }
        self->arm_silence_timer(self->m_pick);
    });
}

void exchange::release_connection()
{
    m_context.loop.cancel(m_silence_timer);
    m_context.loop.cancel(m_withdrawal_timer);
    m_load.end(m_context.loop.now());
    if (m_connection) {
        record_unanswered();
    }
    if (auto const connection = std::exchange(m_connection, nullptr)) {
        if (connection->has_sent()) {
            ++m_state.sent;
            m_may_have_run = true;
        }
        connection->close();
    }
    end_trial();
}

// An engine that answers other requests is busy, not lost. A retry would only
// lengthen its queue and that of another engine.
bool exchange::is_upstream_silent() const
{
    return m_route->kind != routing::request_kind::stream
           || m_context.loop.now() - m_upstream->received_at
                  > m_route->latency_target;
}

bool exchange::can_retry(attempt_end result)
{
    routing::attempt_state after = m_state;
    ++after.sent;
    return routing::may_retry(*m_route, result, after)
           && m_context.retry_budget_for(m_service).available() >= 1.0;
}

bool exchange::acquire_retry(attempt_end result)
{
    if (!routing::may_retry(*m_route, result, m_state)) {
        return false;
    }
    // An attempt that reached no upstream does not count as a retry.
    return m_state.sent == 0
           || m_context.retry_budget_for(m_service).try_acquire();
}

void exchange::attempt_ended(attempt_end result)
{
    bool const had_run = m_may_have_run;
    if (result == attempt_end::unreachable) {
        ++m_state.unreached;
    }
    release_connection();
    if (result == attempt_end::unreachable || result == attempt_end::not_run) {
        m_may_have_run = had_run;
    }
    m_state.has_begun = m_has_begun;
    m_report.last_attempt = routing::to_string(result);
    // A busy host may not yet have read that the caller has disconnected, and
    // would retry a request whose answer is no longer needed.
    if (!m_sink.is_connected()) {
        return;
    }
    if (m_events > 0 && !knows_software()) {
        refuse(reason_code::version_unknown);
        return;
    }
    retry(result);
}

void exchange::retry(attempt_end result)
{
    // Before it takes from the retry budget.
    if (is_kept_back()) {
        refuse_for_parts();
        return;
    }
    if (awaits_verdict() && !may_overtake()) {
        wait_for_verdict([this, result] {
            retry(result);
        });
        return;
    }
    if (acquire_retry(result) && is_still_admitted()) {
        fill_report();
        if (m_context.on_retried) {
            m_context.on_retried(m_report);
        }
        place();
        return;
    }
    refuse(result == attempt_end::not_run ? reason_code::upstream_full
                                          : reason_code::upstream_failed);
}

} // namespace caperjunction::proxy
