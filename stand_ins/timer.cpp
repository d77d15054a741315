#include "stand_ins/timer.hpp"

#include <utility>

namespace caperjunction::stand_ins {

timer::timer(event_base* base, std::function<void()> hook)
    : m_hook(std::move(hook))
    , m_event(evtimer_new(base, &timer::handle_expiry, this), &event_free)
{
}

void timer::start(std::chrono::microseconds delay)
{
    constexpr std::int64_t us_per_second = 1'000'000;
    timeval timeout{};
    timeout.tv_sec = delay.count() / us_per_second;
    timeout.tv_usec = delay.count() % us_per_second;
    evtimer_add(m_event.get(), &timeout);
}

void timer::stop()
{
    evtimer_del(m_event.get());
}

void timer::handle_expiry(evutil_socket_t /*socket*/,
                          short /*what*/,
                          void* self)
{
    // Copied because the hook may destroy this timer.
    std::function<void()> const hook = static_cast<timer*>(self)->m_hook;
    hook();
}

} // namespace caperjunction::stand_ins
