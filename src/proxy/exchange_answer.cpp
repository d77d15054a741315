#include "proxy/exchange.hpp"

#include "proxy/limit_notices.hpp"
#include "proxy/message_text.hpp"

#include <utility>

namespace caperjunction::proxy {
namespace {

using routing::attempt_end;

constexpr int misdirected = 421;
constexpr int first_failure = 500;

/// Answers up to this size are passed on when they are whole, so that a
/// broken one can be tried again; longer ones as they come.
constexpr std::size_t most_held = 262'144;

/// Bytes that may wait for a slow caller before its upstream is held up.
constexpr std::size_t most_unsent = 262'144;

bool is_success(message_head const& head)
{
    constexpr int first = 200;
    constexpr int after_last = 300;
    return head.status >= first && head.status < after_last;
}

bool has_no_body(message_head const& head)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return head.status == no_content || head.status == not_modified;
}

} // namespace

// A second or late answer of an earlier request may stand where ours is
// expected; passed on, a caller would get another one's booking.
bool exchange::is_for_us(message_head const& head)
{
    std::string const* const id = head.find(m_context.names.request_id);
    return id != nullptr && *id == m_facts.id;
}

void exchange::take_head(message_head&& head)
{
    if (m_ended) {
        return;
    }
    bool const says_not_run = head.find(m_context.names.not_run) != nullptr
                              || head.status == misdirected;
    bool const is_another_ones =
        !is_for_us(head) && head.find(m_context.names.request_id) != nullptr;
    if (is_another_ones) {
        m_connection->skip_answer();
        return;
    }
    record_limit(m_context, *m_upstream, head);
    if (says_not_run) {
        m_upstream->health.record_failure(m_context.loop.now());
        try_ended(attempt_end::not_run);
        return;
    }
    bool const is_ours = is_for_us(head)
                         && head.find(m_context.names.seal) != nullptr
                         && head.find("Content-Encoding") == nullptr;
    if (is_success(head) && !is_ours) {
        m_upstream->health.record_failure(m_context.loop.now());
        try_ended(attempt_end::broken);
        return;
    }
    bool const is_failure = head.status >= first_failure;
    if (is_failure) {
        m_upstream->health.record_failure(m_context.loop.now());
        // Without another try the upstream's own answer says more than one
        // of ours.
        if (m_began || can_try_again(attempt_end::failed)) {
            try_ended(attempt_end::failed);
            return;
        }
    }
    note_first_byte();
    m_answer = std::move(head);
    m_is_stream =
        m_route->kind == routing::request_kind::stream && is_success(m_answer);
    bool const is_long = m_answer.length.value_or(0) > most_held;
    if (is_long && !m_is_stream) {
        begin_stream();
    }
}

void exchange::note_first_byte()
{
    auto const now = m_context.loop.now();
    auto const took =
        std::chrono::duration_cast<model::milliseconds>(now - m_sent_at);
    m_report.upstream_wait = took;
    m_upstream->own_performance.end(m_waiting, now);
    if (m_report.first_byte.count() < 0) {
        m_report.first_byte =
            std::chrono::duration_cast<model::milliseconds>(now - m_arrived);
    }
    m_upstream->own.pending_prefill_tokens -= m_unread_tokens;
    m_unread_tokens = 0;
}

void exchange::begin_stream()
{
    m_began = true;
    m_keep_alive = m_port.keeps_alive() && m_head.minor_version > 0;
    m_report.status = m_answer.status;
    answer_framing framing;
    framing.length = m_is_stream ? std::nullopt : m_answer.length;
    framing.keep_alive = m_keep_alive;
    framing.has_body = !is_head_request() && !has_no_body(m_answer);
    m_port.write(answer_head_text(m_answer, m_head.minor_version, framing));
}

void exchange::pass_on(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (!m_began) {
        begin_stream();
    }
    bool const is_chunked =
        m_head.minor_version > 0 && (m_is_stream || !m_answer.length);
    if (is_chunked) {
        m_port.write(chunk_text(bytes));
    } else {
        m_port.write(bytes);
    }
    if (m_connection && m_port.unsent_bytes() > most_unsent) {
        m_connection->enable_reading(false);
    }
}

void exchange::take_body(std::string_view bytes)
{
    if (m_ended) {
        return;
    }
    m_upstream->received_at = m_context.loop.now();
    if (m_is_stream) {
        std::uint64_t const before = m_cutter.events();
        std::string_view const whole = m_cutter.feed(bytes);
        if (m_cutter.events() > before) {
            m_events += m_cutter.events() - before;
            auto const pause = m_pauses.note(m_upstream->received_at);
            // The first event of a try that goes on after another tells of
            // both.
            if (pause && before > 0) {
                m_upstream->own_performance.record_gap(*pause,
                                                       m_upstream->received_at);
            }
        }
        if (!m_cutter.last_id().empty()) {
            m_last_event_id = m_cutter.last_id();
        }
        pass_on(whole);
        return;
    }
    if (m_began) {
        pass_on(bytes);
        return;
    }
    m_answer_body.append(bytes);
    if (m_answer_body.size() > most_held) {
        begin_stream();
        pass_on(std::exchange(m_answer_body, {}));
    }
}

void exchange::deliver_whole()
{
    answer_framing framing;
    framing.keep_alive = m_port.keeps_alive();
    framing.has_body = !is_head_request() && !has_no_body(m_answer);
    if (framing.has_body) {
        framing.length = m_answer_body.size();
    } else if (is_head_request()) {
        framing.length = m_answer.length;
    }
    m_report.status = m_answer.status;
    m_port.write(answer_head_text(m_answer, m_head.minor_version, framing)
                 + m_answer_body);
}

void exchange::take_end()
{
    if (m_ended) {
        return;
    }
    auto const keep = shared_from_this();
    ++m_state.sent;
    bool const is_failure = m_answer.status >= first_failure;
    if (!is_failure) {
        m_upstream->health.record_success(m_context.loop.now());
        if (!m_context.suspects.is_empty()) {
            m_context.suspects.record_success(fingerprint());
        }
    }
    if (auto const connection = std::exchange(m_connection, nullptr)) {
        m_context.pool.release(m_upstream, connection);
    }
    drop_connection();
    if (m_is_stream) {
        pass_on(m_cutter.rest());
    }
    if (!m_began) {
        deliver_whole();
    } else if (m_head.minor_version > 0 && (m_is_stream || !m_answer.length)) {
        m_port.write(last_chunk);
    }
    end(is_failure ? "failed" : "served", true);
}

void exchange::take_fault(answer_fault why)
{
    if (m_ended) {
        return;
    }
    auto const now = m_context.loop.now();
    if (why == answer_fault::malformed) {
        m_upstream->health.record_failure(now);
    } else {
        m_upstream->health.record_unreachable(now);
        if (why == answer_fault::broken && m_connection->has_sent()) {
            m_context.suspects.record_crash(fingerprint(), now);
        }
    }
    try_ended(why == answer_fault::unreachable ? attempt_end::unreachable
                                               : attempt_end::broken);
}

} // namespace caperjunction::proxy
