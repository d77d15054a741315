#include "proxy/relay.hpp"

#include "model/error.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/format.h>
#include <netinet/in.h>

#include <utility>
#include <vector>

namespace caperjunction::proxy {
namespace {

/// Callers that may wait to be accepted: when the queue is full, the opening
/// packet of the next is dropped and sent again after a second.
constexpr int backlog = 1'024;

/// How exactly idle and slow connections are ended.
constexpr model::milliseconds sweep_period{250};

/// A loop that comes to its timers so much later than asked lacks processor
/// time.
constexpr model::milliseconds noticeable_delay{250};

/// Part of the last moment in which final answers are sent.
constexpr model::milliseconds sending_time{100};

/// Within this time a caller sends the first request on a new connection, or
/// the next one on a kept one. A stopping host waits for it before it closes.
constexpr model::milliseconds usual_rest{500};

} // namespace

relay::relay(relay_context& context)
    : m_context(context)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(context.settings.listen.port);
    inet_pton(
        AF_INET, context.settings.listen.address.c_str(), &address.sin_addr);
    m_listener = evconnlistener_new_bind(
        context.loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* own) {
            static_cast<relay*>(own)->serve(socket);
        },
        this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog,
        reinterpret_cast<sockaddr*>(&address),
        sizeof address);
    if (m_listener == nullptr) {
        throw model::error(model::error_kind::bad_settings,
                           fmt::format("cannot listen on {}:{}",
                                       context.settings.listen.address,
                                       context.settings.listen.port),
                           "free that port or choose another with --listen");
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(m_listener),
                reinterpret_cast<sockaddr*>(&bound),
                &size);
    m_port = ntohs(bound.sin_port);
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
    // A connection keeps its caller alive until one of them lets go.
    auto const callers = std::move(m_callers);
    for (auto const& [key, item] : callers) {
        item->abort();
    }
}

void relay::serve(int socket)
{
    auto const made =
        std::make_shared<caller>(m_context, [this](caller const* closed) {
            m_callers.erase(closed);
        });
    m_callers.emplace(made.get(), made);
    made->serve(socket);
}

void relay::note_lateness()
{
    auto const now = m_context.loop.now();
    auto const late = std::chrono::duration_cast<model::milliseconds>(
        now - m_swept_at - sweep_period);
    m_swept_at = now;
    if (late >= noticeable_delay && m_context.on_loop_late) {
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
    note_lateness();
    for (auto const& item : all_callers()) {
        item->check_timeouts();
    }
    m_context.pool.close_idle();
    m_context.directory.drop_missing(m_context.loop.now());
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
    auto const left = m_context.settings.stop_limit - routing::final_write_time
                      - m_context.since_stop();
    m_stop_limit = m_context.loop.after(left, [this] {
        end_stop();
    });
}

void relay::check_stop()
{
    // The limit may have been shortened since the signal.
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
        item->close_if_idle(usual_rest);
    }
    if (m_callers.empty()) {
        tell_stopped();
    }
}

void relay::end_stop()
{
    m_is_ending = true;
    m_context.loop.cancel(m_stop_limit);
    for (auto const& item : all_callers()) {
        item->stop();
    }
    m_stop_limit = m_context.loop.after(sending_time, [this] {
        tell_stopped();
    });
}

void relay::tell_stopped()
{
    auto const call = std::exchange(m_on_stopped, nullptr);
    if (call) {
        call();
    }
}

} // namespace caperjunction::proxy
