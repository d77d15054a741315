#include "proxy/socket_options.hpp"
#include "proxy/tcp_stream.hpp"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace caperjunction::proxy {
namespace {

/// Time in which the peer may close after everything has been sent.
constexpr model::milliseconds close_timeout{1'000};

/// A caller that accepts no byte for this long is considered gone.
constexpr model::milliseconds max_stall{10'000};

} // namespace

void tcp_stream::reset()
{
    if (is_open()) {
        set_reset_on_close(m_socket);
    }
    close();
}

void tcp_stream::close_gracefully(
    std::function<void(close_report const&)> on_finished)
{
    if (!is_open() || m_finishing) {
        return;
    }
    m_finishing = true;
    m_on_finished = std::move(on_finished);
    // The hooks are not called from here on, so the owner may be destroyed.
    m_hooks = {};
    enable_reading(true);
    if (unsent_bytes() == 0) {
        shutdown(m_socket, SHUT_WR);
    }
    wait_for_close(unsent_bytes(), model::milliseconds{0});
}

// Over a saturated link, the rest of an answer may take longer than any fixed
// timeout. Only a lack of progress ends the connection.
void tcp_stream::wait_for_close(std::size_t unsent_before,
                                model::milliseconds stalled)
{
    auto const guard = shared_from_this();
    m_timer = m_loop.after(close_timeout, [guard, unsent_before, stalled] {
        std::size_t const left = guard->unsent_bytes();
        bool const has_progressed = left < unsent_before;
        auto const total_stalled =
            has_progressed ? model::milliseconds{0} : stalled + close_timeout;
        if (total_stalled >= (left == 0 ? close_timeout : max_stall)) {
            guard->end(connection_end::own_close);
            return;
        }
        guard->wait_for_close(left, total_stalled);
    });
}

void tcp_stream::end(connection_end reason)
{
    bool const should_notify = !m_finishing;
    auto const callback = m_hooks.on_end;
    auto const on_finished = std::exchange(m_on_finished, nullptr);
    close_report const report{reason, unsent_bytes(), m_late_bytes};
    close();
    if (should_notify && callback) {
        callback(reason);
    }
    if (on_finished) {
        on_finished(report);
    }
}

void tcp_stream::close()
{
    if (m_socket < 0) {
        return;
    }
    m_loop.cancel(m_timer);
    if (m_read != nullptr) {
        event_free(m_read);
        event_free(m_write);
        m_read = nullptr;
        m_write = nullptr;
    }
    ::close(m_socket);
    m_socket = -1;
    // The hooks keep their owner alive. A hook that is being called runs on a
    // copy.
    m_hooks = {};
    m_on_finished = nullptr;
}

} // namespace caperjunction::proxy
