#include "proxy/exchange.hpp"

#include "proxy/leaving_notices.hpp"
#include "proxy/limit_notices.hpp"
#include "proxy/message_text.hpp"
#include "proxy/pause_requests.hpp"
#include "proxy/rejection_limits.hpp"
#include "proxy/upstream_paths.hpp"

#include <utility>

namespace caperjunction::proxy {
namespace {

using routing::attempt_end;

constexpr int misdirected = 421;
constexpr int first_failure = 500;

/// Answers up to this size are forwarded only when complete, so that a failed
/// attempt can be retried. Larger answers are forwarded as they arrive.
constexpr std::size_t max_buffered_answer = 262'144;

/// Bytes that may be buffered for a slow caller before reading from the
/// upstream is paused.
constexpr std::size_t max_unsent = 262'144;

bool is_success(message_head const& head)
{
    constexpr int first = 200;
    constexpr int after_last = 300;
    return head.status >= first && head.status < after_last;
}

} // namespace

// A connection may deliver a duplicate or late answer to an earlier request. If
// it were forwarded, a caller would get the booking of another caller.
bool exchange::has_own_request_id(message_head const& head)
{
    std::string const* const id = head.find(m_context.names.request_id);
    return id != nullptr && *id == m_metadata.id;
}

void exchange::handle_connected()
{
    if (is_direct()) {
        m_has_connected = true;
        record_connected(m_context, *m_upstream);
    }
}

void exchange::record_received()
{
    m_has_received = true;
    m_upstream->received_at = m_context.loop.now();
    if (is_direct()) {
        m_context.reach.record_received();
        m_upstream->link.record_received(m_upstream->received_at);
    }
}

void exchange::handle_head(message_head&& head)
{
    if (m_ended) {
        return;
    }
    record_received();
    bool const is_misdirected = head.status == misdirected;
    if (!is_misdirected) {
        record_leaving(m_context, *m_upstream, head);
        record_pause_request(
            m_context, *m_upstream, head, m_connection->peer());
    }
    bool const says_not_run =
        head.find(m_context.names.not_run) != nullptr || is_misdirected;
    bool const is_other_request =
        !has_own_request_id(head)
        && head.find(m_context.names.request_id) != nullptr;
    if (is_other_request) {
        m_connection->skip_answer();
        return;
    }
    record_limit(m_context, *m_upstream, head);
    if (!is_misdirected) {
        record_rejection_limit(m_context, *m_upstream, head);
    }
    if (says_not_run) {
        m_upstream->health.record_failure(m_context.loop.now());
        if (!is_misdirected) {
            m_upstream->rejections.record_rejection(m_context.loop.now());
        }
        attempt_ended(attempt_end::not_run);
        return;
    }
    bool const is_ours = has_own_request_id(head)
                         && head.find(m_context.names.seal) != nullptr
                         && head.find("Content-Encoding") == nullptr;
    if (is_success(head) && !is_ours) {
        m_upstream->health.record_failure(m_context.loop.now());
        attempt_ended(attempt_end::broken);
        return;
    }
    bool const is_failure = head.status >= first_failure;
    if (is_failure) {
        m_upstream->health.record_failure(m_context.loop.now());
        // If no retry is possible, the upstream's answer is more useful to the
        // caller than a generated one.
        if (m_has_begun || can_retry(attempt_end::failed)) {
            attempt_ended(attempt_end::failed);
            return;
        }
    }
    record_first_byte();
    m_answer = std::move(head);
    m_is_stream =
        m_route->kind == routing::request_kind::stream && is_success(m_answer);
    bool const is_long = m_answer.length.value_or(0) > max_buffered_answer;
    if (is_long && !m_is_stream) {
        start_forwarding();
    }
}

void exchange::record_first_byte()
{
    auto const now = m_context.loop.now();
    m_head_at = now;
    auto const wait =
        std::chrono::duration_cast<model::milliseconds>(now - m_sent_at);
    m_report.upstream_wait = wait;
    m_load.record_first_event(now);
    record_if_late();
    if (m_report.first_byte.count() < 0) {
        m_report.first_byte =
            std::chrono::duration_cast<model::milliseconds>(now - m_arrived);
    }
}

bool exchange::expects_body() const
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return !is_head_request() && m_answer.status != no_content
           && m_answer.status != not_modified;
}

void exchange::start_forwarding()
{
    m_has_begun = true;
    m_keep_alive = m_sink.keeps_alive() && m_head.minor_version > 0;
    m_report.status = m_answer.status;
    answer_framing framing;
    framing.length = m_is_stream ? std::nullopt : m_answer.length;
    framing.keep_alive = m_keep_alive;
    framing.has_body = expects_body();
    m_sink.write(answer_head_text(m_answer, m_head.minor_version, framing));
}

void exchange::forward(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (!m_has_begun) {
        start_forwarding();
    }
    bool const is_chunked =
        m_head.minor_version > 0 && (m_is_stream || !m_answer.length);
    if (is_chunked) {
        m_sink.write(chunk_text(bytes));
    } else {
        m_sink.write(bytes);
    }
    if (m_connection && m_sink.unsent_bytes() > max_unsent) {
        m_connection->enable_reading(false);
    }
}

void exchange::handle_body(std::string_view bytes)
{
    if (m_ended) {
        return;
    }
    record_received();
    if (m_is_stream) {
        std::uint64_t const before = m_framer.events();
        std::string_view const complete = m_framer.feed(bytes);
        if (m_framer.is_overlong()) {
            handle_fault(answer_fault::malformed);
            return;
        }
        if (m_framer.events() > before) {
            if (before == 0 && !has_expected_software()) {
                attempt_ended(attempt_end::broken);
                return;
            }
            handle_events(m_framer.events() - before);
        }
        if (!m_framer.last_id().empty()) {
            m_last_event_id = m_framer.last_id();
        }
        forward(complete);
        return;
    }
    if (m_has_begun) {
        forward(bytes);
        return;
    }
    m_answer_body.append(bytes);
    if (m_answer_body.size() > max_buffered_answer) {
        start_forwarding();
        forward(std::exchange(m_answer_body, {}));
    }
}

void exchange::handle_events(std::uint64_t count)
{
    bool const is_first_of_attempt = m_framer.events() == count;
    if (m_events == 0) {
        record_first_event();
    }
    m_events += count;
    record_written_parts();
    auto const gap = m_event_gaps.record(m_upstream->received_at);
    // The gap before the first event of a resumed attempt includes time spent
    // at the previous upstream, so it is not attributed to this one.
    if (gap && !is_first_of_attempt) {
        m_upstream->own_performance.record_gap(
            std::chrono::duration_cast<model::milliseconds>(*gap),
            m_upstream->received_at);
        record_speed(*gap, count);
    }
}

void exchange::record_speed(model::time_point::duration gap,
                            std::uint64_t count)
{
    auto const now = m_upstream->received_at;
    if (m_context.settings.speed_classes) {
        m_load.record_event_gap(gap, count, now);
    } else if (m_upstream->pending_prefill_tokens() == 0) {
        // Gaps while prompts are read depend on the load, not on the speed.
        m_upstream->own_capacity.record_event_gap(
            std::chrono::duration_cast<model::milliseconds>(gap), now);
    }
}

void exchange::send_complete_answer()
{
    answer_framing framing;
    framing.keep_alive = m_sink.keeps_alive();
    framing.has_body = expects_body();
    if (framing.has_body) {
        framing.length = m_answer_body.size();
    } else if (is_head_request()) {
        framing.length = m_answer.length;
    }
    m_report.status = m_answer.status;
    m_sink.write(answer_head_text(m_answer, m_head.minor_version, framing)
                 + m_answer_body);
}

} // namespace caperjunction::proxy
