#ifndef CAPERJUNCTION_STAND_INS_TIMER_HPP
#define CAPERJUNCTION_STAND_INS_TIMER_HPP

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <memory>

namespace caperjunction::stand_ins {

/// One-shot timer that calls a hook on the event_base's thread.
///
/// Thread safety: none. Destruction cancels the timer and is allowed from
/// within the hook.
class timer
{
public:
    /// \pre base outlives the timer.
    timer(event_base* base, std::function<void()> hook);
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;
    ~timer() = default;

    /// Starts the timer. If it is already running, restarts it with `delay`.
    void start(std::chrono::microseconds delay);
    void stop();

private:
    static void handle_expiry(evutil_socket_t socket, short what, void* self);

    std::function<void()> m_hook;
    std::unique_ptr<event, decltype(&event_free)> m_event;
};

} // namespace caperjunction::stand_ins

#endif
