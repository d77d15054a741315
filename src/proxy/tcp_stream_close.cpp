#include "proxy/tcp_stream.hpp"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace caperjunction::proxy {
namespace {

/// Time in which the other side may close after it has been sent all.
constexpr model::milliseconds close_timeout{1'000};

/// A caller that takes no byte for so long has left.
constexpr model::milliseconds max_stall{10'000};

} // namespace

void tcp_stream::reset()
{
    linger const at_once{1, 0};
    if (is_open()) {
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
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
    // Nobody hears of what follows; the owner may go.
    m_hooks = {};
    enable_reading(true);
    if (unsent_bytes() == 0) {
        shutdown(m_socket, SHUT_WR);
    }
    wait_for_close(unsent_bytes(), model::milliseconds{0});
}

// The rest of an answer may need longer than any fixed time on a full link.
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

void tcp_stream::end(connection_end how)
{
    bool const tell = !m_finishing;
    auto const callback = m_hooks.on_end;
    auto const on_finished = std::exchange(m_on_finished, nullptr);
    close_report const report{how, unsent_bytes(), m_late_bytes};
    close();
    if (tell && callback) {
        callback(how);
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
    // The hooks keep their owner alive; whoever is being called from one of
    // them holds a copy of it.
    m_hooks = {};
    m_on_finished = nullptr;
}

} // namespace caperjunction::proxy
