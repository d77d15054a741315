#include "proxy/relay.hpp"

#include "proxy/stream_software.hpp"
#include "proxy/tcp_listener.hpp"
#include "proxy/upstream_paths.hpp"

#include <event2/listener.h>

#include <utility>
#include <vector>

namespace caperjunction::proxy {
namespace {

/// Interval, and thereby precision, with which idle and slow connections are
/// closed.
constexpr model::milliseconds sweep_period{250};

/// A loop whose timers run this late lacks processor time.
constexpr model::milliseconds min_reported_lateness{250};

/// Part of `routing::final_write_time` in which final answers are sent.
constexpr model::milliseconds final_answer_time{100};

/// Time within which a caller sends the first request on a new connection, or
/// the next one on a kept connection. A stopping host waits this long before it
/// closes an idle connection.
constexpr model::milliseconds min_idle_before_close{500};

/// Time after an answer for which a stop leaves its connection open: the caller
/// may pause for up to 3 s before it reads the answer and sends its next
/// request.
constexpr model::milliseconds max_pause_of_reader{3'000};

} // namespace

relay::relay(relay_context& context)
    : m_context(context)
{
    m_listener = listen_on(
        context.loop,
        context.settings.listen,
        "listen",
        [](evconnlistener*,
           evutil_socket_t socket,
           sockaddr*,
           int,
           void* self) {
            static_cast<relay*>(self)->serve(socket);
        },
        this);
    m_port = port_of(m_listener);
    m_swept_at = m_context.loop.now();
    m_sweep = m_context.loop.every(sweep_period, [this] {
        sweep();
    });
}

relay::~relay()
{
    m_context.loop.cancel(m_sweep);
    m_context.loop.cancel(m_stop_limit);
    evconnlistener_free(m_listener);
    // A connection and its caller keep each other alive until one of them is
    // closed.
    auto const callers = std::move(m_callers);
    for (auto const& [key, item] : callers) {
        item->abort();
    }
}

void relay::serve(int socket)
{
    auto const result =
        std::make_shared<caller>(m_context, [this](caller const* closed) {
            m_callers.erase(closed);
        });
    m_callers.emplace(result.get(), result);
    result->serve(socket);
}

void relay::record_lateness()
{
    auto const now = m_context.loop.now();
    auto const late = std::chrono::duration_cast<model::milliseconds>(
        now - m_swept_at - sweep_period);
    m_swept_at = now;
    if (late >= min_reported_lateness && m_context.on_loop_late) {
        m_context.on_loop_late(late);
    }
}

std::vector<std::shared_ptr<caller>> relay::all_callers() const
{
    std::vector<std::shared_ptr<caller>> all;
    all.reserve(m_callers.size());
    for (auto const& [key, item] : m_callers) {
        all.push_back(item);
    }
    return all;
}

void relay::sweep()
{
    record_lateness();
    for (auto const& item : all_callers()) {
        item->check_timeouts();
    }
    sweep_paths(m_context);
    m_context.directory.drop_missing(m_context.loop.now());
    sweep_stream_software(m_context);
    if (m_context.is_stopping) {
        check_stop();
    }
}

void relay::plan_stop(model::time_point signalled,
                      std::function<void()> on_stopped)
{
    if (m_context.is_stopping) {
        return;
    }
    m_context.is_stopping = true;
    m_on_stopped = std::move(on_stopped);
    m_context.stop_started_at = signalled;
    m_context.host_queue.refuse_all();
    auto const left = m_context.settings.stop_limit - routing::final_write_time
                      - m_context.since_stop();
    m_stop_limit = m_context.loop.after(left, [this] {
        end_stop();
    });
}

void relay::check_stop()
{
    // The limit may have been lowered since the signal.
    if (m_context.since_stop()
            > m_context.settings.stop_limit - routing::final_write_time
        && !m_is_ending) {
        end_stop();
        return;
    }
    if (m_context.since_stop() <= routing::balancer_lag) {
        return;
    }
    for (auto const& item : all_callers()) {
        if (item->unread_bytes() == 0
            && !item->may_be_reading(max_pause_of_reader)) {
            item->close_if_idle(min_idle_before_close);
        }
    }
    if (m_callers.empty() && m_context.open_tunnels == 0) {
        notify_stopped();
    }
}

void relay::end_stop()
{
    m_is_ending = true;
    m_context.loop.cancel(m_stop_limit);
    for (auto const& item : all_callers()) {
        item->stop();
    }
    m_stop_limit = m_context.loop.after(final_answer_time, [this] {
        notify_stopped();
    });
}

void relay::notify_stopped()
{
    auto const callback = std::exchange(m_on_stopped, nullptr);
    if (callback) {
        callback();
    }
}

} // namespace caperjunction::proxy
