#include "proxy/exchange.hpp"

#include "proxy/message_text.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::proxy {
namespace {

using routing::attempt_end;

/// A try of a plain request that has been silent for this many latency
/// targets is tried elsewhere: it is late already, and an upstream that
/// swallows requests would hold it until the caller gives up.
constexpr int targets_of_silence = 1;
/// Streams wait for a place among others; only a multiple of the target
/// tells silence from a queue.
constexpr int targets_of_stream_silence = 2;

} // namespace

model::milliseconds exchange::time_left() const
{
    return std::chrono::duration_cast<model::milliseconds>(
        m_give_up - m_context.loop.now());
}

// A key may have been taken away since the request came. How old the belief
// was then decided whether it was admitted; that doesn't change.
bool exchange::is_still_allowed()
{
    auto const admitted = routing::admit(
        m_context.table.get(),
        m_context.keys,
        {m_facts.authority, m_facts.path, m_facts.key, m_arrived_boot});
    return !admitted.refused
           || *admitted.refused == routing::refusal_reason::no_route;
}

void exchange::send_to(routing::pick const& chosen)
{
    m_upstream = chosen.to;
    m_tried.push_back(m_upstream->description.id);
    m_connection = m_context.pool.acquire(m_upstream);
    m_sent_at = m_context.loop.now();
    m_unread_tokens = m_facts.prompt.tokens
                      - std::min(m_facts.prompt.tokens,
                                 m_facts.prompt.shared_tokens()
                                     - std::min(m_facts.prompt.shared_tokens(),
                                                chosen.uncached_tokens));
    m_upstream->limit.record_send(m_sent_at);
    m_upstream->own.running += 1;
    m_upstream->own.urgent += m_is_most_urgent ? 1 : 0;
    m_waiting =
        m_upstream->own_performance.begin(m_sent_at, chosen.nominal_forecast);
    m_upstream->own.pending_prefill_tokens += m_unread_tokens;
    m_context.urgent_streams[m_service] += m_is_most_urgent ? 1 : 0;
    m_counted = true;
    m_answer = {};
    m_answer_body.clear();
    m_cutter = {};
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
    // The hooks hold the exchange for as long as the connection may call.
    auto const self = shared_from_this();
    m_connection->send(text,
                       is_head_request(),
                       m_context.settings.connect_timeout,
                       {[self](message_head&& head) {
                            self->take_head(std::move(head));
                        },
                        [self](std::string_view bytes) {
                            self->take_body(bytes);
                        },
                        [self] {
                            self->take_end();
                        },
                        [self](answer_fault why) {
                            self->take_fault(why);
                        }});
}

void exchange::arm_silence_timer(routing::pick const& chosen)
{
    m_context.loop.cancel(m_silence_timer);
    if (!m_route->repeatable() || m_state.sent + 1 >= m_route->max_attempts) {
        return;
    }
    int const targets = m_route->kind == routing::request_kind::stream
                            ? targets_of_stream_silence
                            : targets_of_silence;
    auto const wait =
        std::max(m_route->latency_target * targets, chosen.forecast * 2);
    auto const weak = weak_from_this();
    m_silence_timer = m_context.loop.after(wait, [weak] {
        auto const own = weak.lock();
        if (!own || own->m_ended || own->m_report.first_byte.count() >= 0) {
            return;
        }
        if (own->is_upstream_silent() && own->can_try_again(attempt_end::silent)
            && own->is_still_allowed() && own->has_other_place()) {
            own->m_upstream->health.record_failure(own->m_context.loop.now());
            own->try_ended(attempt_end::silent);
            return;
        }
        own->arm_silence_timer(own->m_pick);
    });
}

void exchange::drop_connection()
{
    m_context.loop.cancel(m_silence_timer);
    if (m_counted) {
        m_counted = false;
        m_context.urgent_streams[m_service] -= m_is_most_urgent ? 1 : 0;
        m_upstream->own.running -= 1;
        m_upstream->own.urgent -= m_is_most_urgent ? 1 : 0;
        m_upstream->own_performance.drop(m_waiting);
        m_upstream->own.pending_prefill_tokens -= m_unread_tokens;
        m_unread_tokens = 0;
    }
    if (auto const connection = std::exchange(m_connection, nullptr)) {
        if (connection->has_sent()) {
            ++m_state.sent;
            m_may_have_run = true;
        }
        connection->close();
    }
}

// An engine that answers others is busy, not lost: a second send would only
// add to its queue and to another's.
bool exchange::is_upstream_silent() const
{
    return m_route->kind != routing::request_kind::stream
           || m_context.loop.now() - m_upstream->received_at
                  > m_route->latency_target;
}

bool exchange::can_try_again(attempt_end how)
{
    routing::attempt_state after = m_state;
    ++after.sent;
    return routing::may_retry(*m_route, how, after)
           && m_context.allowance(m_service).available() >= 1.0;
}

bool exchange::takes_retry(attempt_end how)
{
    if (!routing::may_retry(*m_route, how, m_state)) {
        return false;
    }
    // An upstream that got nothing is no second send.
    return m_state.sent == 0 || m_context.allowance(m_service).try_acquire();
}

void exchange::try_ended(attempt_end how)
{
    bool const had_run = m_may_have_run;
    if (how == attempt_end::unreachable) {
        ++m_state.unreached;
    }
    drop_connection();
    if (how == attempt_end::unreachable || how == attempt_end::not_run) {
        m_may_have_run = had_run;
    }
    m_state.has_begun = m_began;
    m_report.last_attempt = routing::to_string(how);
    // A busy host reads late that a caller has left, and would send on what
    // nobody waits for.
    if (!m_port.is_connected()) {
        return;
    }
    if (takes_retry(how) && is_still_allowed()) {
        fill_report();
        if (m_context.on_retried) {
            m_context.on_retried(m_report);
        }
        place();
        return;
    }
    if (m_began) {
        end("cut", false);
        return;
    }
    refuse(how == attempt_end::not_run ? step::upstream_full
                                       : step::upstream_failed);
}

} // namespace caperjunction::proxy
