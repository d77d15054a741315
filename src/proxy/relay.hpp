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

/// Listens for callers and sees to times and to the planned stop.
///
/// A planned stop cuts off nothing that can be finished: the balancer is told
/// first and still sends callers for seconds, so these are served; answers
/// then close their connections; what is idle is closed; the process ends when
/// nothing is on its way. What is not answered by the stop's limit gets a final
/// answer shortly before it.
///
/// Thread safety: none; owned by the loop's task.
class relay
{
public:
    /// \throws model::error (bad_settings) if the address is not to be had.
    explicit relay(relay_context& context);
    ~relay();
    relay(relay const&) = delete;
    relay& operator=(relay const&) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

    /// Begins the planned stop, whose signal was delivered at `signalled`;
    /// `on_stopped` is called when nothing is left or the limit is near.
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

    /// Serves a connection that has been accepted; takes over the socket.
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
    /// The limit of the stop is near; final answers have been given.
    bool m_is_ending = false;
    model::time_point m_swept_at;

    std::function<void()> m_on_stopped;
};

} // namespace caperjunction::proxy

#endif
