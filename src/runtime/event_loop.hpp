#ifndef CAPERJUNCTION_RUNTIME_EVENT_LOOP_HPP
#define CAPERJUNCTION_RUNTIME_EVENT_LOOP_HPP

#include "model/time.hpp"
#include "runtime/clock.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

struct event;
struct event_base;

namespace caperjunction::runtime {

/// Names a timer of one event loop; the default names none.
struct timer_handle
{
    std::uint64_t value = 0;
    /// Where the loop keeps it: finding it by its time costs little where
    /// thousands of requests have a timer each.
    model::time_point due{};
    bool is_periodic = false;
};

/// One libevent loop with timers that follow the runtime's clock.
///
/// Thread safety: `wake` and `stop` may be called from any thread, all else
/// only by the thread that runs the loop (or before it runs).
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

    /// Calls `run` once, `delay` from now.
    timer_handle after(model::milliseconds delay, action run);

    /// Calls `run` every `period`; a late call is not made up for.
    timer_handle every(model::milliseconds period, action run);

    /// Calls `run` when what is running now has returned: for freeing what
    /// the caller itself stands in.
    void defer(action run);

    void cancel(timer_handle timer);

    /// Called by the loop after `wake`.
    void set_wake_handler(action run)
    {
        m_on_wake = std::move(run);
    }

    void wake();

    /// Runs until `stop`.
    void run();
    void stop();

    /// Waits for something to happen and handles it.
    void run_once();

    /// Handles what is ready and the timers that are due, without waiting:
    /// for tests that advance the clock.
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
    void run_due();
    void arm();

    static void handle_wake(int, short, void* self);
    static void handle_timer(int, short, void* self);

    runtime::clock m_clock;
    event_base* m_base = nullptr;
    event* m_wake = nullptr;
    event* m_timer = nullptr;
    action m_on_wake;
    std::multimap<model::time_point, timer> m_timers;
    std::uint64_t m_last_timer = 0;
    std::atomic<bool> m_stopping{false};
};

} // namespace caperjunction::runtime

#endif
