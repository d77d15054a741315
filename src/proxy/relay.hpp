#ifndef CAPERJUNCTION_PROXY_RELAY_HPP
#define CAPERJUNCTION_PROXY_RELAY_HPP

#include "proxy/caller.hpp"
#include "proxy/relay_context.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

struct evconnlistener;

namespace caperjunction::proxy {

/// Listens for callers, enforces time limits and performs the planned stop.
///
/// A planned stop drops no request that can be completed. The load balancer is
/// informed first but keeps sending callers for some seconds, so these are
/// served. Answers then close their connections, and idle connections are
/// closed. The process ends when no request is left. Requests that are
/// unanswered shortly before the stop's limit get a final answer then.
///
/// Thread safety: none; owned by the loop's task.
class relay
{
public:
    /// \throws model::error (bad_settings) if the address is not available.
    explicit relay(relay_context& context);
    ~relay();
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /// Begins the planned stop. `signalled` is the time at which the signal was
    /// delivered. `on_stopped` is called when no connection is left or the
    /// limit is near.
    ///
    /// \pre `signalled` is not later than now.
    void plan_stop(model::time_point signalled,
                   std::function<void()> on_stopped);

    bool is_stopping() const
    {
        return m_context.is_stopping;
    }

    std::size_t callers() const
    {
        return m_callers.size();
    }

    /// Serves an accepted connection. Takes ownership of the socket.
    void serve(int socket);

private:
    void sweep();
    void record_lateness();
    void check_stop();
    void end_stop();
    void notify_stopped();
    std::vector<std::shared_ptr<caller>> all_callers() const;

    relay_context& m_context;
    evconnlistener* m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::map<caller const*, std::shared_ptr<caller>> m_callers;
    runtime::timer_handle m_sweep;
    runtime::timer_handle m_stop_limit;
    /// Whether the stop's limit is near and final answers have been sent.
    bool m_is_ending = false;
    model::time_point m_swept_at;

    std::function<void()> m_on_stopped;
};

} // namespace caperjunction::proxy

#endif
