#include "runtime/event_loop.hpp"
#include "runtime/signal_time.hpp"

#include <doctest/doctest.h>
#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace caperjunction::test {

using namespace std::chrono_literals;

// A busy loop handles the signal to stop late, and takes what it can't finish.
TEST_CASE("a signal's delivery is known however late it is handled")
{
    runtime::event_loop loop;
    bool handled = false;
    event* const term = evsignal_new(
        loop.base(),
        SIGUSR1,
        [](int, short, void* seen) {
            *static_cast<bool*>(seen) = true;
        },
        &handled);
    event_add(term, nullptr);
    runtime::record_signal_time(SIGUSR1);
    auto const before = loop.now();
    CHECK(runtime::first_signal_time(before) == before);
    std::raise(SIGUSR1);
    auto const after = loop.now();
    std::this_thread::sleep_for(50ms);
    // The limit counts from the first, however often it is sent.
    std::raise(SIGUSR1);
    loop.poll();
    CHECK(handled);
    CHECK(runtime::first_signal_time(loop.now()) >= before);
    CHECK(runtime::first_signal_time(loop.now()) <= after);
    event_free(term);
}

} // namespace caperjunction::test
