#include "runtime/event_loop.hpp"

#include "model/error.hpp"

#include <event2/event.h>
#include <event2/thread.h>

#include <algorithm>
#include <utility>

namespace caperjunction::runtime {
namespace {

event_base* make_base()
{
    // Wake-ups come from other threads, so libevent has to lock.
    static bool const s_locks = evthread_use_pthreads() == 0;
    event_config* const config = event_config_new();
    // A socket that is watched and let go within one turn costs nothing.
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    event_base* const base =
        s_locks ? event_base_new_with_config(config) : nullptr;
    event_config_free(config);
    if (base == nullptr) {
        throw model::error(model::error_kind::unavailable,
                           "no event loop could be made",
                           "raise the limit of open files (ulimit -n)");
    }
    return base;
}

} // namespace

event_loop::event_loop(runtime::clock clock)
    : m_clock(std::move(clock))
    , m_base(make_base())
    , m_wake(event_new(m_base, -1, EV_PERSIST, handle_wake, this))
    , m_timer(event_new(m_base, -1, 0, handle_timer, this))
{
    // Without a time limit of its own, this event keeps the loop alive and
    // fires only when another thread activates it.
    event_add(m_wake, nullptr);
}

event_loop::~event_loop()
{
    // What timers hold may cancel others, or watch sockets of this loop.
    decltype(m_timers) left;
    left.swap(m_timers);
    left.clear();
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
    arm();
    return handle;
}

void event_loop::cancel(timer_handle handle)
{
    auto const is_it = [handle](auto const& entry) {
        return entry.second.id == handle.value;
    };
    auto const [first, last] = m_timers.equal_range(handle.due);
    auto found = std::find_if(first, last, is_it);
    if (found == last) {
        if (!handle.is_periodic) {
            return;
        }
        // A periodic timer that has fired stands at another time by now.
        found = std::find_if(m_timers.begin(), m_timers.end(), is_it);
    }
    if (found != m_timers.end()) {
        m_timers.erase(found);
    }
}

void event_loop::arm()
{
    if (m_timers.empty()) {
        return;
    }
    auto const wait = std::max(m_timers.begin()->first - now(),
                               model::time_point::duration{0});
    auto const micros =
        std::chrono::duration_cast<std::chrono::microseconds>(wait);
    constexpr std::int64_t micros_per_second = 1'000'000;
    timeval const limit{micros.count() / micros_per_second,
                        micros.count() % micros_per_second};
    event_add(m_timer, &limit);
}

void event_loop::run_due()
{
    model::time_point const due_by = now();
    while (!m_timers.empty() && m_timers.begin()->first <= due_by) {
        timer due = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        if (due.period.count() > 0) {
            // Added again before it runs, so that it can cancel itself; from
            // now on, so that a paused process doesn't catch up in a burst.
            m_timers.emplace(due_by + due.period, due);
        }
        due.run();
    }
    arm();
}

void event_loop::wake()
{
    event_active(m_wake, EV_READ, 0);
}

void event_loop::run()
{
    arm();
    while (!m_stopping.load()) {
        event_base_loop(m_base, EVLOOP_ONCE);
    }
}

void event_loop::run_once()
{
    arm();
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
    run_due();
}

void event_loop::handle_wake(int /*socket*/, short /*what*/, void* self)
{
    auto& own = *static_cast<event_loop*>(self);
    if (own.m_on_wake) {
        own.m_on_wake();
    }
}

void event_loop::handle_timer(int /*socket*/, short /*what*/, void* self)
{
    static_cast<event_loop*>(self)->run_due();
}

} // namespace caperjunction::runtime
