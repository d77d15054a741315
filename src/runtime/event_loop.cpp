#include "runtime/event_loop.hpp"

#include "model/error.hpp"

#include <event2/event.h>
#include <event2/thread.h>

#include <algorithm>
#include <string>
#include <utility>

namespace caperjunction::runtime {
namespace {

event_base* create_event_base()
{
    // `wake` and `stop` activate events from other threads, which requires
    // libevent's locking.
    static bool const s_threads_enabled = evthread_use_pthreads() == 0;
    event_config* const config = event_config_new();
    // Batches epoll updates: a socket that is added and removed within one
    // iteration costs no system call.
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base* const base =
        s_threads_enabled ? event_base_new_with_config(config) : nullptr;
    event_config_free(config);
    if (base == nullptr) {
        throw model::error(model::error_kind::unavailable,
                           "cannot create an event loop",
                           "raise the limit on open files (ulimit -n)");
    }
    return base;
}

} // namespace

event_loop::event_loop(runtime::clock clock)
    : m_clock(std::move(clock))
    , m_base(create_event_base())
    , m_wake(event_new(m_base, -1, EV_PERSIST, handle_wake, this))
    , m_timer(event_new(m_base, -1, 0, handle_timer, this))
{
    // A persistent event without a timeout keeps the loop running. It fires
    // only when `wake` activates it.
    event_add(m_wake, nullptr);
}

event_loop::~event_loop()
{
    // Objects captured by timer callbacks may cancel other timers or remove
    // sockets from this loop when they are destroyed.
    decltype(m_timers) remaining;
    remaining.swap(m_timers);
    remaining.clear();
    for (auto const& each : m_signals) {
        event_free(each->watched);
    }
    event_free(m_wake);
    event_free(m_timer);
    event_base_free(m_base);
}

timer_handle event_loop::after(model::milliseconds delay, action run)
{
    return add(now() + delay, model::milliseconds{0}, std::move(run));
}

timer_handle event_loop::every(model::milliseconds period, action run)
{
    return add(now() + period, period, std::move(run));
}

void event_loop::defer(action run)
{
    add(now(), model::milliseconds{0}, std::move(run));
}

timer_handle
event_loop::add(model::time_point due, model::milliseconds period, action run)
{
    timer_handle const handle{++m_last_timer, due, period.count() > 0};
    m_timers.emplace(due, timer{handle.value, period, std::move(run)});
    arm_timer();
    return handle;
}

void event_loop::cancel(timer_handle handle)
{
    auto const has_id = [handle](auto const& entry) {
        return entry.second.id == handle.value;
    };
    auto const [first, last] = m_timers.equal_range(handle.due);
    auto found = std::find_if(first, last, has_id);
    if (found == last) {
        if (!handle.is_periodic) {
            return;
        }
        // A periodic timer that has fired is stored under a later time than
        // the one in its handle.
        found = std::find_if(m_timers.begin(), m_timers.end(), has_id);
    }
    if (found != m_timers.end()) {
        m_timers.erase(found);
    }
}

void event_loop::on_signal(int number, action run)
{
    auto watch = std::make_unique<signal_watch>();
    watch->run = std::move(run);
    watch->watched = evsignal_new(
        m_base,
        number,
        [](int /*number*/, short /*what*/, void* self) {
            static_cast<signal_watch*>(self)->run();
        },
        watch.get());
    if (watch->watched == nullptr || event_add(watch->watched, nullptr) != 0) {
        if (watch->watched != nullptr) {
            event_free(watch->watched);
        }
        throw model::error(model::error_kind::unavailable,
                           "cannot watch signal " + std::to_string(number),
                           "allow the process to handle it; without that, a "
                           "stop loses its requests");
    }
    m_signals.push_back(std::move(watch));
}

void event_loop::arm_timer()
{
    if (m_timers.empty()) {
        return;
    }
    auto const wait = std::max(m_timers.begin()->first - now(),
                               model::time_point::duration{0});
    auto const wait_us =
        std::chrono::duration_cast<std::chrono::microseconds>(wait);
    constexpr std::int64_t us_per_second = 1'000'000;
    timeval const timeout{wait_us.count() / us_per_second,
                          wait_us.count() % us_per_second};
    event_add(m_timer, &timeout);
}

void event_loop::run_expired_timers()
{
    model::time_point const current_time = now();
    while (!m_timers.empty() && m_timers.begin()->first <= current_time) {
        timer due = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        if (due.period.count() > 0) {
            // Added again before it runs, so that it can cancel itself. The
            // next period starts now, so that a process that was suspended
            // does not run all missed periods in a burst.
            m_timers.emplace(current_time + due.period, due);
        }
        due.run();
    }
    arm_timer();
}

void event_loop::wake()
{
    event_active(m_wake, EV_READ, 0);
}

void event_loop::run()
{
    arm_timer();
    while (!m_stopping.load()) {
        event_base_loop(m_base, EVLOOP_ONCE);
    }
}

void event_loop::run_once()
{
    arm_timer();
    event_base_loop(m_base, EVLOOP_ONCE);
}

void event_loop::stop()
{
    m_stopping.store(true);
    wake();
}

void event_loop::poll()
{
    event_base_loop(m_base, EVLOOP_NONBLOCK);
    run_expired_timers();
}

void event_loop::handle_wake(int /*socket*/, short /*what*/, void* self)
{
    auto& loop = *static_cast<event_loop*>(self);
    if (loop.m_on_wake) {
        loop.m_on_wake();
    }
}

void event_loop::handle_timer(int /*socket*/, short /*what*/, void* self)
{
    static_cast<event_loop*>(self)->run_expired_timers();
}

} // namespace caperjunction::runtime
