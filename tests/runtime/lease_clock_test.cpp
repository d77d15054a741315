#include "runtime/lease_clock.hpp"

#include "model/error.hpp"
#include "runtime/manual_clock.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <vector>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

/// A steady clock and a source whose times a test sets.
struct clock_fixture
{
    runtime::manual_clock steady;
    std::shared_ptr<std::optional<model::time_point>> source =
        std::make_shared<std::optional<model::time_point>>(
            model::time_point(20h));
    std::vector<model::milliseconds> behind;
    int lost = 0;
    int regained = 0;
    runtime::lease_clock clock{steady.as_clock(), {source_of(source)}};
    model::time_point start = clock.now();

    clock_fixture()
    {
        clock.set_hooks({[this] {
                             ++lost;
                         },
                         [this] {
                             ++regained;
                         },
                         [this](model::milliseconds by) {
                             behind.push_back(by);
                         }});
    }

    static runtime::clock_source
    source_of(std::shared_ptr<std::optional<model::time_point>> const& time)
    {
        return {"test", [time] {
                    return *time;
                }};
    }

    void advance(model::milliseconds steady_by, model::milliseconds source_by)
    {
        steady.advance(steady_by);
        **source += source_by;
    }

    model::time_point::duration elapsed()
    {
        return clock.now() - start;
    }
};

/// Returns a source that can't be read.
runtime::clock_source unreadable(std::string_view name)
{
    return {name, [] {
                return std::optional<model::time_point>();
            }};
}

} // namespace

// A lease that rests on a clock that stands still, or is slow, never ends.
TEST_CASE("a source that stands still or is slow doesn't slow the lease clock")
{
    for (auto const source_step : {0ms, 50ms, 89ms, -20ms}) {
        CAPTURE(source_step.count());
        clock_fixture fixture;
        for (int step = 1; step <= 100; ++step) {
            fixture.advance(100ms, source_step);
            CHECK(fixture.elapsed() >= step * 100ms);
            CHECK(fixture.elapsed() <= step * 100ms + 10ms);
        }
        CHECK(fixture.behind.size() == 1);
        CHECK(fixture.clock.total_behind()
              >= 100 * (100ms - source_step) - 10ms);
    }
}

// The steady clock stands still while the host is suspended: without the source
// a lease would be longer by that time.
TEST_CASE("suspended time counts")
{
    clock_fixture fixture;
    fixture.advance(1s, 7s);
    CHECK(fixture.elapsed() == 7s);
    fixture.advance(1s, 1s);
    CHECK(fixture.elapsed() == 8s);
    CHECK(fixture.behind.empty());
}

// Guards against a lease that is longer by what the source was stepped back.
TEST_CASE("suspended time counts after the source has stepped back")
{
    clock_fixture fixture;
    fixture.advance(1s, -3s);
    CHECK(fixture.elapsed() == 1s);
    fixture.advance(1s, 6s);
    CHECK(fixture.elapsed() == 7s);
    REQUIRE(fixture.behind.size() == 1);
    CHECK(fixture.behind.front() == 4s);
}

// A clock that can't be read is no time: taken as zero, no lease would end.
TEST_CASE("leases are ended while the source can't be read")
{
    clock_fixture fixture;
    auto const before = **fixture.source;
    fixture.source->reset();
    fixture.steady.advance(1s);
    CHECK(fixture.elapsed() == 1s);
    CHECK(fixture.lost == 1);
    fixture.steady.advance(1s);
    CHECK(fixture.elapsed() == 2s);
    CHECK(fixture.lost == 1);
    CHECK(fixture.regained == 0);
    // The host was suspended for 5 s meanwhile.
    *fixture.source = before + 8s;
    fixture.steady.advance(1s);
    CHECK(fixture.elapsed() == 8s);
    CHECK(fixture.regained == 1);
}

TEST_CASE("a source that can't be read at the start is replaced by the next")
{
    clock_fixture const fixture;
    runtime::lease_clock clock(
        fixture.steady.as_clock(),
        {unreadable("first"), clock_fixture::source_of(fixture.source)});
    CHECK(clock.source() == "test");
}

// Guards against a host that begins without any clock for its leases.
TEST_CASE("a start without any source is refused and names the sources")
{
    runtime::manual_clock const steady;
    bool is_refused = false;
    try {
        runtime::lease_clock clock(steady.as_clock(),
                                   {unreadable("first"), unreadable("second")});
    } catch (model::error const& failure) {
        is_refused = true;
        CHECK(failure.kind() == model::error_kind::unavailable);
        CHECK(std::string(failure.what()).find("first, second")
              != std::string::npos);
    }
    CHECK(is_refused);
}

// A process that loses the processor between the reads of both clocks must not
// take that for suspended time, or for a source that is behind.
TEST_CASE("a pause between the reads of the clocks isn't suspended time")
{
    runtime::manual_clock steady;
    auto pause = std::make_shared<model::milliseconds>(0);
    auto const start = steady.now();
    int behind = 0;
    runtime::lease_clock clock(steady.as_clock(),
                               {{"test", [&steady, pause] {
                                     steady.advance(*pause);
                                     auto const read = steady.now();
                                     steady.advance(*pause);
                                     return std::optional(read);
                                 }}});
    clock.set_hooks({nullptr, nullptr, [&behind](model::milliseconds) {
                         ++behind;
                     }});
    for (auto const time : {50ms, 0ms, 200ms, 0ms}) {
        *pause = time;
        clock.now();
        auto const read = clock.now();
        CHECK(read == steady.now());
    }
    CHECK(steady.now() - start == 1s);
    CHECK(behind == 0);
}
