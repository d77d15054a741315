#include "proxy/caller.hpp"

#include "proxy/connection_report.hpp"
#include "proxy/message_text.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Time after which a caller has read an answer of which this host has nothing
/// left to send, whatever its deadline.
constexpr model::milliseconds max_reading_time{10'000};

} // namespace

void caller::end_exchange(bool complete)
{
    auto const guard = shared_from_this();
    if (!complete) {
        report_end({connection_end::own_close, m_stream->unsent_bytes(), 0});
    }
    m_phase_start = m_context.loop.now();
    m_reading_until =
        std::min(m_exchange->deadline(), m_phase_start + max_reading_time);
    m_last_unread_bytes = std::numeric_limits<std::size_t>::max();
    m_exchange.reset();
    release_body();
    m_idle_timeout = limits().idle_timeout;
    if (!complete) {
        // A normal close could be mistaken for the end of a body without a
        // length.
        m_closing = true;
        m_stream->reset();
        m_on_closed(this);
        return;
    }
    // A caller whose last answer announced keep-alive may send its next request
    // immediately, even if this host has started to stop since.
    if (!m_keep_alive_announced) {
        close_gracefully();
        return;
    }
    if (m_pending.empty()) {
        m_stream->enable_reading(true);
        return;
    }
    // Deferred, because the last hook of the answer is still running.
    std::weak_ptr<caller> const weak = weak_from_this();
    m_context.loop.defer([weak] {
        if (auto const self = weak.lock()) {
            self->handle_pending();
        }
    });
}

void caller::handle_pending()
{
    if (m_exchange || m_closing) {
        return;
    }
    parse(std::exchange(m_pending, {}));
    if (!m_closing && m_pending.size() <= max_pending) {
        m_stream->enable_reading(true);
    }
}

void caller::reject(routing::refusal_reason reason)
{
    auto const guard = shared_from_this();
    m_closing = true;
    m_body = {};
    release_body();
    routing::refusal const refused = routing::refuse(reason, false);
    std::string const* const id = m_head.find(m_context.names.request_id);
    m_stream->write(refusal_text(refused,
                                 m_has_head && id != nullptr ? *id : "",
                                 m_context.names,
                                 false,
                                 false));
    exchange_report report;
    report.outcome = "refused";
    report.reason = routing::to_string(reason);
    report.status = refused.status;
    if (m_context.on_ended) {
        m_context.on_ended(report);
    }
    close_gracefully();
}

void caller::connection_ended(connection_end reason)
{
    auto const guard = shared_from_this();
    report_end({reason, m_stream->unsent_bytes(), 0});
    if (auto const current = std::exchange(m_exchange, nullptr)) {
        current->cancel(to_string(reason));
    }
    if (!m_closing) {
        m_closing = true;
        m_on_closed(this);
    }
}

void caller::stop()
{
    auto const guard = shared_from_this();
    if (auto const current = m_exchange) {
        current->stop();
        return;
    }
    close_if_idle(model::milliseconds{0});
}

void caller::abort()
{
    auto const guard = shared_from_this();
    report_end({connection_end::own_close, m_stream->unsent_bytes(), 0});
    m_closing = true;
    if (auto const current = std::exchange(m_exchange, nullptr)) {
        current->cancel(to_string(connection_end::own_close));
    }
    m_stream->close();
}

// The last answer may still be in the send buffer, and the process must not
// exit before it is sent. The connection has ended when the peer has closed
// too.
void caller::close_gracefully()
{
    m_closing = true;
    auto const self = shared_from_this();
    m_stream->close_gracefully([self](close_report const& left) {
        self->report_end(left);
        self->m_on_closed(self.get());
    });
}

std::string_view caller::activity() const
{
    if (m_closing) {
        return "finishing";
    }
    if (m_exchange) {
        return "serving";
    }
    return m_reader.is_between_messages() ? "idle" : "reading";
}

std::string_view caller::request_id() const
{
    std::string const* const id = m_head.find(m_context.names.request_id);
    return id == nullptr ? std::string_view() : std::string_view(*id);
}

void caller::report_end(close_report const& left)
{
    if (!m_context.on_connection_ended) {
        return;
    }
    connection_report report;
    report.end = left.end;
    report.activity = activity();
    report.id = request_id();
    report.unsent_bytes = left.unsent_bytes;
    report.late_bytes = left.late_bytes + m_pending.size();
    report.elapsed = elapsed();
    m_context.on_connection_ended(report);
}

model::milliseconds caller::elapsed() const
{
    return std::chrono::duration_cast<model::milliseconds>(m_context.loop.now()
                                                           - m_phase_start);
}

void caller::check_timeouts()
{
    if (m_exchange || m_closing) {
        return;
    }
    if (m_reader.is_between_messages()) {
        auto const limit = std::max(m_idle_timeout, limits().idle_timeout);
        if (!is_idle_for(limit)) {
            return;
        }
        if (m_stream->unsent_bytes() > 0) {
            close_gracefully();
            return;
        }
        close_if_idle(limit);
        return;
    }
    check_slow_request();
}

std::size_t caller::unread_bytes() const
{
    return m_stream->unsent_bytes() + m_stream->unacknowledged_bytes();
}

bool caller::may_be_reading(model::milliseconds max_pause) const
{
    return m_context.loop.now()
           < std::min(m_reading_until, m_phase_start + max_pause);
}

// A caller that still reads its answer is not idle. If its connection closes
// meanwhile, its next request is lost.
bool caller::is_idle_for(model::milliseconds limit)
{
    auto const now = m_context.loop.now();
    if (now - std::max(m_phase_start, m_reading_until) < limit) {
        return false;
    }
    std::size_t const unread = unread_bytes();
    bool const is_reading = unread > 0 && unread < m_last_unread_bytes;
    if (is_reading) {
        m_last_unread_bytes = unread;
        m_phase_start = now;
    }
    return !is_reading;
}

void caller::check_slow_request()
{
    auto const limit =
        m_has_head ? limits().idle_timeout : limits().header_timeout;
    if (elapsed() <= limit) {
        return;
    }
    auto const guard = shared_from_this();
    // The rest of the request may already be in the socket if this host is
    // behind.
    m_stream->read_available();
    if (!m_exchange && !m_closing && !m_reader.is_between_messages()) {
        reject(routing::refusal_reason::caller_too_slow);
    }
}

// A request that arrives during the close must stay unread: the caller then
// gets a reset and knows that it may send the request again.
void caller::close_if_idle(model::milliseconds min_idle)
{
    if (is_busy() || m_closing || elapsed() < min_idle) {
        return;
    }
    auto const guard = shared_from_this();
    // A request that has already arrived is served.
    m_stream->read_available();
    if (is_busy() || m_closing) {
        return;
    }
    report_end({connection_end::own_close, m_stream->unsent_bytes(), 0});
    m_closing = true;
    m_stream->close();
    m_on_closed(this);
}

} // namespace caperjunction::proxy
