#include "routing/overload_rule.hpp"
#include "routing/reserved_engines.hpp"
#include "routing/support.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace caperjunction;
using namespace caperjunction::test;
using routing::overload_inputs;
using routing::reservation_inputs;

namespace {

overload_inputs bulk(model::milliseconds forecast)
{
    overload_inputs inputs;
    inputs.forecast = forecast;
    inputs.target = 1'500ms;
    inputs.is_least_urgent = true;
    return inputs;
}

/// Prompts that come at twice the pace at which one engine reads them; each
/// that is turned away comes back once.
struct burst
{
    static constexpr model::milliseconds read_time{50};
    static constexpr model::milliseconds target{1'500};

    bool turns_away = false;
    int in_time = 0;
    int late = 0;
    int unread_at_end = 0;

    void play()
    {
        model::milliseconds queued{0};
        std::deque<model::milliseconds> returns;
        constexpr model::milliseconds length{6'000};
        constexpr model::milliseconds step{25};
        for (model::milliseconds now{0}; now < length; now += step) {
            queued = std::max(queued - step, model::milliseconds{0});
            arrive(queued, now, &returns);
            while (!returns.empty() && returns.front() <= now) {
                returns.pop_front();
                arrive(queued, now, nullptr);
            }
        }
        unread_at_end = static_cast<int>(queued / read_time);
    }

private:
    void arrive(model::milliseconds& queued,
                model::milliseconds now,
                std::deque<model::milliseconds>* returns)
    {
        auto const back =
            routing::overload_retry_after(bulk(queued + read_time));
        if (turns_away && back) {
            if (returns != nullptr) {
                returns->push_back(now + *back);
            }
            return;
        }
        queued += read_time;
        (queued <= target ? in_time : late) += 1;
    }
};

} // namespace

TEST_CASE("prompts that will be in time are taken, whatever their rank")
{
    CHECK(!routing::overload_retry_after(bulk(900ms)));
    overload_inputs middle;
    middle.forecast = 600ms;
    middle.target = 500ms;
    CHECK(!routing::overload_retry_after(middle));
}

// Under overload the least urgent give way first; the most urgent never do.
TEST_CASE("the least urgent are turned away first, the most urgent never")
{
    auto inputs = bulk(1'200ms);
    CHECK(routing::overload_retry_after(inputs));
    inputs.is_least_urgent = false;
    CHECK(!routing::overload_retry_after(inputs));
    inputs.forecast = 3'000ms;
    CHECK(routing::overload_retry_after(inputs));
    inputs.is_most_urgent = true;
    CHECK(!routing::overload_retry_after(inputs));
}

TEST_CASE("who is turned away is told when the queue will have shrunk")
{
    CHECK(*routing::overload_retry_after(bulk(1'700ms)) == 800ms);
    CHECK(*routing::overload_retry_after(bulk(901ms)) == 300ms);
    CHECK(*routing::overload_retry_after(bulk(60'000ms)) == 2'000ms);
}

// Long prompts come twice as fast as they are read. Taken all, they queue
// until every caller is late; turned away in time, as many as the engine can
// read are answered in time, and nothing is left to read when the burst ends.
TEST_CASE("in a burst beyond capacity more callers are answered in time")
{
    burst all;
    all.play();
    burst some;
    some.turns_away = true;
    some.play();
    CHECK(some.late == 0);
    CHECK(some.in_time > 2 * all.in_time);
    CHECK(some.unread_at_end * 2 < all.unread_at_end);
}

TEST_CASE("the lane of urgent streams follows their number")
{
    reservation_inputs inputs;
    inputs.engines = 90;
    inputs.slots = 48;
    std::size_t const at_rest = routing::reserved_engine_count(inputs);
    CHECK(at_rest >= 9);
    CHECK(at_rest <= 15);
    std::size_t before = at_rest;
    for (std::uint32_t streams : {200U, 800U, 1'200U, 1'600U}) {
        inputs.urgent_streams = streams;
        std::size_t const now = routing::reserved_engine_count(inputs);
        CHECK(now >= before);
        // They fit, with room for what others have just sent.
        CHECK(static_cast<double>(now) * inputs.slots >= streams * 1.2);
        before = now;
    }
    inputs.urgent_streams = 100'000;
    CHECK(routing::reserved_engine_count(inputs) <= 60);
}

TEST_CASE("few engines are divided too, and very few not at all")
{
    reservation_inputs inputs;
    inputs.slots = 128;
    inputs.engines = 2;
    CHECK(routing::reserved_engine_count(inputs) == 0);
    inputs.engines = 3;
    CHECK(routing::reserved_engine_count(inputs) == 1);
    inputs.urgent_streams = 10'000;
    CHECK(routing::reserved_engine_count(inputs) == 1);
    // One of the lane may crash.
    inputs.urgent_streams = 50;
    inputs.engines = 12;
    CHECK(routing::reserved_engine_count(inputs) == 3);
}
