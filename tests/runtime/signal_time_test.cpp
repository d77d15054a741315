#include "runtime/event_loop.hpp"
#include "runtime/signal_time.hpp"

#include <doctest/doctest.h>
#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace caperjunction::test {

using namespace std::chrono_literals;

// A busy loop handles the stop signal late. Without the time of delivery, it
// would accept requests that it cannot finish within the limits.
TEST_CASE("the delivery time of a signal does not depend on its handling")
{
    runtime::event_loop loop;
    bool handled = false;
    event* const signal_event = evsignal_new(
        loop.base(),
        SIGUSR1,
        [](int, short, void* flag) {
            *static_cast<bool*>(flag) = true;
        },
        &handled);
    event_add(signal_event, nullptr);
    runtime::record_signal_time(SIGUSR1);
    auto const earliest = loop.now();
    CHECK(runtime::first_signal_time(earliest) == earliest);
    std::raise(SIGUSR1);
    auto const latest = loop.now();
    std::this_thread::sleep_for(50ms);
    // Time limits count from the first delivery, even if the signal is sent
    // again.
    std::raise(SIGUSR1);
    loop.poll();
    CHECK(handled);
    CHECK(runtime::first_signal_time(loop.now()) >= earliest);
    CHECK(runtime::first_signal_time(loop.now()) <= latest);
    event_free(signal_event);
}

} // namespace caperjunction::test
