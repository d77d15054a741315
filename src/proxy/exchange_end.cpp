#include "proxy/exchange.hpp"

#include "proxy/message_text.hpp"
#include "proxy/tunnel_candidates.hpp"
#include "proxy/upstream_paths.hpp"

#include <utility>

namespace caperjunction::proxy {
namespace {

using routing::attempt_end;

constexpr int first_failure = 500;

} // namespace

// An engine that fails may close its connection like one that has finished, and
// an intermediary may end the chunks of what it got.
bool exchange::is_stream_broken_off() const
{
    if (!m_is_stream || !expects_body()) {
        return false;
    }
    if (m_framer.is_inside_event()) {
        return true;
    }
    // A stream that is resumed after its last event has none left.
    bool const is_resumed =
        m_events > 0 || m_head.find(m_context.names.last_event_id) != nullptr;
    return !is_resumed && m_framer.events() == 0
           && framing_of(m_answer) == body_framing::connection;
}

void exchange::handle_end()
{
    if (m_ended) {
        return;
    }
    auto const guard = shared_from_this();
    if (is_stream_broken_off()) {
        bool const has_closed =
            framing_of(m_answer) == body_framing::connection;
        handle_fault(has_closed ? answer_fault::broken
                                : answer_fault::malformed);
        return;
    }
    ++m_state.sent;
    bool const is_failure = m_answer.status >= first_failure;
    if (!is_failure) {
        m_upstream->health.record_success(m_context.loop.now());
        record_answered_parts();
    }
    if (auto const connection = std::exchange(m_connection, nullptr)) {
        m_context.pool.release(m_upstream, connection);
    }
    release_connection();
    if (m_is_stream) {
        forward(m_framer.partial_event());
    }
    if (!m_has_begun) {
        send_complete_answer();
    } else if (m_head.minor_version > 0 && (m_is_stream || !m_answer.length)) {
        m_sink.write(last_chunk);
    }
    end(is_failure ? "failed" : "served", true);
}

void exchange::handle_fault(answer_fault fault)
{
    if (m_ended) {
        return;
    }
    record_fault(fault);
    bool const has_no_way = fault == answer_fault::unreachable
                            || fault == answer_fault::peer_unreachable;
    attempt_ended(has_no_way ? attempt_end::unreachable : attempt_end::broken);
}

void exchange::record_fault(answer_fault fault)
{
    auto const now = m_context.loop.now();
    if (fault == answer_fault::malformed) {
        m_upstream->health.record_failure(now);
        return;
    }
    if (fault == answer_fault::peer_unreachable) {
        // The upstream is not to blame and may be attempted in another way.
        record_tunnel_failure(m_context, *m_connection->peer());
        m_attempted.pop_back();
        return;
    }
    m_upstream->broken_at = m_context.lease_now();
    if (fault == answer_fault::broken && m_connection->has_sent()) {
        report_broken_attempt();
        record_broken_parts();
    }
    if (fault == answer_fault::broken && !is_direct()) {
        // Either the upstream or the host in between has broken it.
        m_upstream->health.record_failure(now);
        return;
    }
    m_upstream->health.record_unreachable(now);
    m_upstream->rejections.record_rejection(now);
    if (fault == answer_fault::unreachable && is_direct()) {
        record_unreachable(m_context, *m_upstream);
    } else if (fault == answer_fault::unreachable) {
        record_detour_failure(m_context, *m_upstream, *m_connection->peer());
    }
}

model::milliseconds exchange::since_head() const
{
    if (!m_head_at) {
        return model::milliseconds{-1};
    }
    return std::chrono::duration_cast<model::milliseconds>(m_context.loop.now()
                                                           - *m_head_at);
}

void exchange::report_broken_attempt()
{
    if (!m_context.on_attempt_broken) {
        return;
    }
    broken_attempt_report report;
    report.id = m_metadata.id;
    report.request = request_key();
    report.known_crashes = m_context.parts.counts_of(whole_request());
    report.route = m_route->name;
    report.service = m_service;
    report.upstream = m_upstream->description.id;
    report.upstream_started = m_upstream->description.started;
    report.through = m_through;
    report.prompt = &m_metadata.prompt;
    report.events = m_framer.events();
    report.since_head = since_head();
    m_context.on_attempt_broken(report);
}

} // namespace caperjunction::proxy
