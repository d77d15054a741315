// Each check of the bench is fed a policy that breaks just that rule; a check
// that stayed silent would say nothing about a policy that passes.
#include "bench/wrong_policy.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace caperjunction;
using tests::count_violations;
using tests::make_refusal;
using tests::short_scenario;

namespace {

using std::chrono::seconds;

decide::request const* arrival(decide::event const& event)
{
    auto const* const arrived = std::get_if<decide::request_arrived>(&event);
    return arrived == nullptr ? nullptr : &arrived->request;
}

tests::twist do_nothing()
{
    return [](auto const&, auto, auto&) {};
}

} // namespace

TEST_CASE("a policy that breaks no rule is told of none")
{
    auto const where = bench::make_deployment("kitanomine");
    auto const result = bench::simulate(where,
                                        short_scenario("steady", seconds{10}),
                                        tests::make_wrong(do_nothing),
                                        1);
    CHECK(result.violations.empty());
}

// The router goes on after more tokens than the caller has: it sees an answer
// with a piece missing.
TEST_CASE("an answer with a gap is noticed")
{
    auto const skip = [] {
        return [](auto const&, auto, auto& out) {
            for (auto& one : out) {
                if (auto* made = std::get_if<decide::dispatch>(&one)) {
                    made->resume_offset = 1;
                }
            }
        };
    };
    CHECK(count_violations(
              "truncated_answer", skip, short_scenario("steady", seconds{3}))
          > 0);
}

// A reservation that was handed over is sent again: the client is charged
// twice.
TEST_CASE("a second run is noticed")
{
    auto const twice = [] {
        auto const held = std::make_shared<std::deque<decide::dispatch>>();
        return [held](auto const& event, auto, auto& out) {
            auto const* const request = arrival(event);
            if (request != nullptr && !request->repeatable) {
                held->push_back(std::get<decide::dispatch>(out.front()));
            }
            if (std::holds_alternative<decide::tick>(event) && !held->empty()) {
                decide::dispatch const first = held->front();
                held->pop_front();
                out.emplace_back(
                    decide::cancel_attempt{first.id, first.upstream, "wrong"});
                out.emplace_back(first);
            }
        };
    };
    CHECK(count_violations(
              "second_run", twice, short_scenario("steady", seconds{3}))
          > 0);
}

// The router says "not run" of something that an upstream has begun.
TEST_CASE("a false not run is noticed")
{
    auto const lie = [] {
        auto const held = std::make_shared<std::deque<model::request_id>>();
        return [held](auto const& event, auto, auto& out) {
            if (arrival(event) != nullptr) {
                held->push_back(arrival(event)->id);
            }
            if (std::holds_alternative<decide::tick>(event) && !held->empty()) {
                out.emplace_back(make_refusal(held->front()));
                held->pop_front();
            }
        };
    };
    auto const what = short_scenario("steady", seconds{3});
    CHECK(count_violations("not_run_though_it_ran", lie, what) > 0);
    CHECK(count_violations("second_final_answer", lie, what) > 0);
}

TEST_CASE("a request that is forgotten is noticed")
{
    auto const forget = [] {
        return [](auto const& event, auto, auto& out) {
            if (arrival(event) != nullptr) {
                out.clear();
            }
        };
    };
    CHECK(count_violations(
              "no_answer_in_time", forget, short_scenario("steady", seconds{3}))
          > 0);
}

TEST_CASE("two attempts at once and an attempt after the end are noticed")
{
    auto const both = [] {
        auto const last = std::make_shared<decide::dispatch>();
        return [last](auto const& event, auto, auto& out) {
            auto const* const ended =
                std::get_if<decide::attempt_ended>(&event);
            if (ended != nullptr && ended->id == last->id) {
                out.emplace_back(*last);
            }
            if (arrival(event) != nullptr && !out.empty()) {
                *last = std::get<decide::dispatch>(out.front());
                out.push_back(out.front());
            }
        };
    };
    auto const what = short_scenario("steady", seconds{3});
    CHECK(count_violations("two_attempts_at_once", both, what) > 0);
    CHECK(count_violations("dispatched_after_final_answer", both, what) > 0);
}

TEST_CASE("a decision on a request that the host does not hold is noticed")
{
    auto const stray = [] {
        return [](auto const& event, auto, auto& out) {
            if (arrival(event) != nullptr) {
                out.emplace_back(
                    make_refusal({arrival(event)->id.value + 1'000'000}));
            }
        };
    };
    CHECK(count_violations("decision_for_another_hosts_request",
                           stray,
                           short_scenario("steady", seconds{3}))
          > 0);
}

// The router knows that a request won't be served and keeps it until the
// client has no time left to ask again.
TEST_CASE("a refusal that is held back is noticed")
{
    auto const hold = [] {
        auto const held = std::make_shared<std::deque<decide::request>>();
        return [held](auto const& event, auto now, auto& out) {
            constexpr seconds wait{4};
            auto const* const request = arrival(event);
            if (request != nullptr && request->repeatable) {
                out.clear();
                held->push_back(*request);
            }
            while (!held->empty() && now - held->front().arrived > wait) {
                out.emplace_back(make_refusal(held->front().id));
                held->pop_front();
            }
        };
    };
    CHECK(count_violations("refusals_held_back_towards_their_deadline",
                           hold,
                           short_scenario("steady", seconds{10}))
          > 0);
}

// The router serves the newest first and lets the older ones wait for
// nothing, though it knows that their turn won't come.
TEST_CASE("a refusal after later requests went first is noticed")
{
    auto const pass_over = [] {
        auto const held = std::make_shared<std::deque<decide::request>>();
        auto const count = std::make_shared<int>(0);
        return [held, count](auto const& event, auto now, auto& out) {
            constexpr seconds wait{2};
            auto const* const request = arrival(event);
            if (request != nullptr && request->repeatable
                && ++*count % 2 == 0) {
                out.clear();
                held->push_back(*request);
            }
            while (!held->empty() && now - held->front().arrived > wait) {
                out.emplace_back(make_refusal(held->front().id));
                held->pop_front();
            }
        };
    };
    CHECK(count_violations("refusal_held_back_after_passing_over",
                           pass_over,
                           short_scenario("steady", seconds{10}))
          > 0);
}

// Summaries are refused at the desk while the office's letters, which have
// had far more than their share, still wait in a queue.
TEST_CASE("a higher tier refused while lower work is queued is noticed")
{
    auto const invert = [] {
        return [](auto const& event, auto now, auto& out) {
            constexpr seconds later{25};
            auto const* const request = arrival(event);
            bool const is_late = now - model::time_point{} > later;
            if (request == nullptr || !is_late) {
                return;
            }
            if (request->service_class == "allocation_letter") {
                out.clear();
            }
            if (request->service_class == "campaign_summary") {
                out.clear();
                out.emplace_back(make_refusal(request->id));
            }
        };
    };
    CHECK(count_violations("higher_tier_refused_while_lower_queued",
                           invert,
                           short_scenario("saturation", seconds{30}))
          > 0);
}

TEST_CASE("a lower tier admitted in place of a higher one is noticed")
{
    auto const invert = [] {
        return [](auto const& event, auto, auto& out) {
            auto const* const request = arrival(event);
            if (request != nullptr
                && request->service_class == "campaign_summary") {
                out.clear();
                out.emplace_back(make_refusal(request->id));
            }
        };
    };
    CHECK(count_violations("lower_tier_admitted_in_place_of_higher",
                           invert,
                           short_scenario("saturation", seconds{30}))
          > 0);
}

TEST_CASE("a refusal without a time to come back or a remedy is noticed")
{
    auto const curt = [] {
        return [](auto const& event, auto, auto& out) {
            if (arrival(event) != nullptr) {
                auto refusal = make_refusal(arrival(event)->id);
                refusal.retry_after = {};
                refusal.remedy.clear();
                out.clear();
                out.emplace_back(refusal);
            }
        };
    };
    auto const what = short_scenario("steady", seconds{3});
    CHECK(count_violations("refusal_without_retry_after", curt, what) > 0);
    CHECK(count_violations("refusal_without_remedy", curt, what) > 0);
}

TEST_CASE("waiting longer than stated is noticed")
{
    auto const dawdle = [] {
        using held_dispatch = std::pair<model::time_point, decide::decision>;
        auto const held = std::make_shared<std::deque<held_dispatch>>();
        return [held](auto const& event, auto now, auto& out) {
            constexpr seconds wait{8};
            if (arrival(event) != nullptr) {
                held->emplace_back(now, out.front());
                out.clear();
            }
            while (!held->empty() && now - held->front().first > wait) {
                out.push_back(held->front().second);
                held->pop_front();
            }
        };
    };
    CHECK(count_violations("waited_longer_than_stated",
                           dawdle,
                           short_scenario("steady", seconds{3}))
          > 0);
}
