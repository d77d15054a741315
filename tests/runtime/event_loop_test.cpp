#include "runtime/event_loop.hpp"

#include "model/error.hpp"
#include "runtime/manual_clock.hpp"

#include <doctest/doctest.h>

#include <csignal>

using namespace caperjunction;
using namespace std::chrono_literals;

// A process is suspended for many periods and resumes. If missed periods were
// run, periodic work would run in a burst and flood peers with outdated
// messages.
TEST_CASE("a periodic timer that is late by many periods runs once")
{
    runtime::manual_clock time;
    runtime::event_loop loop(time.as_clock());
    int runs = 0;
    loop.every(10ms, [&runs] {
        ++runs;
    });
    time.advance(1'000ms);
    loop.poll();
    CHECK(runs == 1);
    time.advance(10ms);
    loop.poll();
    CHECK(runs == 2);
}

TEST_CASE("a cancelled timer does not run")
{
    runtime::manual_clock time;
    runtime::event_loop loop(time.as_clock());
    int runs = 0;
    auto const timer = loop.after(5ms, [&runs] {
        ++runs;
    });
    loop.cancel(timer);
    time.advance(10ms);
    loop.poll();
    CHECK(runs == 0);
}

// A stop whose signal isn't watched ends the process at once, with all
// requests.
TEST_CASE("a signal that can't be watched is an error")
{
    runtime::event_loop loop;
    CHECK_THROWS_AS(loop.on_signal(SIGKILL, [] {}), model::error);
    int delivered = 0;
    loop.on_signal(SIGUSR1, [&delivered] {
        ++delivered;
    });
    std::raise(SIGUSR1);
    loop.run_once();
    CHECK(delivered == 1);
}
