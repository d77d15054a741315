#ifndef CAPERJUNCTION_PROXY_HOST_QUEUE_ROUNDS_HPP
#define CAPERJUNCTION_PROXY_HOST_QUEUE_ROUNDS_HPP

#include "model/time.hpp"
#include "routing/host_queue.hpp"
#include "runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace caperjunction::proxy {

/// The queue of a host and the timer of its rounds, which runs only while
/// requests wait.
///
/// Thread safety: none; owned by the loop's task.
class host_queue_rounds
{
public:
    /// Actions of one waiting request.
    struct hooks
    {
        /// Called in each round; removes the request unless it waits on.
        std::function<void(bool is_blocked)> attempt;
        /// Refuses and removes the request.
        std::function<void()> refuse;
    };

    explicit host_queue_rounds(runtime::event_loop& loop);
    ~host_queue_rounds();
    host_queue_rounds(host_queue_rounds const&) = delete;
    host_queue_rounds& operator=(host_queue_rounds const&) = delete;

    /// Adds a request and returns its number; nothing if the queue is full.
    std::optional<std::uint64_t> try_add(routing::waiting_request const& added,
                                         hooks actions);

    /// Does nothing if the request doesn't wait.
    void remove(std::uint64_t number);

    /// Runs a round soon if requests wait at `service`, where one has ended.
    void run_soon(std::string_view service);

    /// Refuses all requests, because the host is stopping.
    void refuse_all();

    routing::host_queue const& queue() const
    {
        return m_queue;
    }

private:
    void arm(model::time_point due);
    void arm_next_round();
    void run_round();
    void refuse(std::uint64_t number);

    runtime::event_loop& m_loop;
    routing::host_queue m_queue;
    std::map<std::uint64_t, hooks> m_hooks;
    runtime::timer_handle m_timer;
    /// When the timer expires; no value: it isn't set.
    std::optional<model::time_point> m_due;
};

} // namespace caperjunction::proxy

#endif
