#include "routing/crash_table.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace caperjunction;
using namespace std::chrono_literals;

// Guards against evidence that goes each time another host tells of a crash
// again.
TEST_CASE("a crash that is told again takes no other one's place")
{
    constexpr std::uint64_t kept = 512;
    model::time_point const start{std::chrono::hours(1)};
    auto const crash_of = [start](std::uint64_t engine) {
        auto const at = start + engine * 100ms;
        return routing::upstream_crash{
            engine, 1, 1, at, {{engine, at - 50ms, false, true}}};
    };
    routing::crash_table table{routing::poison_limits{}};
    for (std::uint64_t engine = 1; engine <= kept; ++engine) {
        table.record(crash_of(engine));
    }
    table.record(crash_of(kept));
    CHECK(table.knows(1));
    table.record(crash_of(kept + 1));
    CHECK_FALSE(table.knows(1));
    CHECK(table.knows(2));
}
