#include "runtime/event_loop.hpp"

#include "runtime/manual_clock.hpp"

#include <doctest/doctest.h>

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
