#ifndef CAPERJUNCTION_RUNTIME_EVENT_LOOP_HPP
#define CAPERJUNCTION_RUNTIME_EVENT_LOOP_HPP

#include "model/time.hpp"
#include "runtime/clock.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace caperjunction::runtime {

/// Handle of a timer of one event loop. A default-constructed handle refers to
/// no timer.
struct timer_handle
{
    std::uint64_t value = 0;
    /// Expiry time, the key under which the loop stores the timer. Lookup by
    /// this key stays cheap with thousands of timers, one per request.
    model::time_point due{};
    bool is_periodic = false;
};

/// libevent loop with timers that use the runtime clock.
///
/// Thread safety: `wake` and `stop` may be called from any thread. All other
/// members may be called only by the thread that runs the loop, or before the
/// loop runs.
class event_loop
{
public:
    using action = std::function<void()>;

    explicit event_loop(runtime::clock clock = {});
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    event_base* base() const
    {
        return m_base;
    }

    model::time_point now() const
    {
        return m_clock.now();
    }

    runtime::clock const& clock() const
    {
        return m_clock;
    }

    /// Calls `run` once after `delay`.
    timer_handle after(model::milliseconds delay, action run);

    /// Calls `run` every `period`. Missed periods are skipped.
    timer_handle every(model::milliseconds period, action run);

    /// Calls `run` after the current handler has returned. Lets a handler
    /// destroy the object that it is a member of.
    void defer(action run);

    void cancel(timer_handle timer);

    /// Calls `run` after each delivery of the signal `number`.
    ///
    /// \throws model::error (unavailable) if the signal can't be watched.
    void on_signal(int number, action run);

    /// Sets the function that the loop calls after `wake`.
    void set_wake_handler(action run)
    {
        m_on_wake = std::move(run);
    }

    void wake();

    /// Runs until `stop`.
    void run();
    void stop();

    /// Waits for at least one event and handles all that are ready.
    void run_once();

    /// Handles ready events and expired timers without blocking. For tests
    /// that advance the clock.
    void poll();

private:
    struct timer
    {
        std::uint64_t id = 0;
        model::milliseconds period{0};
        action run;
    };

    timer_handle
    add(model::time_point due, model::milliseconds period, action run);
    void run_expired_timers();
    void arm_timer();

    struct signal_watch
    {
        event* watched = nullptr;
        action run;
    };

    static void handle_wake(int, short, void* self);
    static void handle_timer(int, short, void* self);

    runtime::clock m_clock;
    event_base* m_base = nullptr;
    event* m_wake = nullptr;
    event* m_timer = nullptr;
    action m_on_wake;
    std::vector<std::unique_ptr<signal_watch>> m_signals;
    std::multimap<model::time_point, timer> m_timers;
    std::uint64_t m_last_timer = 0;
    std::atomic<bool> m_stopping{false};
};

} // namespace caperjunction::runtime

#endif
