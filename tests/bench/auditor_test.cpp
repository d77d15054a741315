// Each check is run with a policy that breaks exactly that rule. A check that
// reports nothing here would not show that a passing policy is correct.
#include "bench/faulty_policy.hpp"

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

tests::decision_filter do_nothing()
{
    return [](auto const&, auto, auto&) {};
}

} // namespace

TEST_CASE("a policy that breaks no rule causes no violation")
{
    auto const where = bench::make_deployment("kitanomine");
    auto const result = bench::simulate(where,
                                        short_scenario("steady", seconds{10}),
                                        tests::make_faulty(do_nothing),
                                        1);
    CHECK(result.violations.empty());
}

// The router resumes after more tokens than the caller has: the answer has a
// gap.
TEST_CASE("an answer with a gap is reported")
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

// A reservation that an upstream has accepted is sent again: the client is
// charged twice.
TEST_CASE("a second run is reported")
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

// The router reports "not run" for a request that an upstream has started.
TEST_CASE("a false not run is reported")
{
    auto const refuse_later = [] {
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
    CHECK(count_violations("not_run_though_it_ran", refuse_later, what) > 0);
    CHECK(count_violations("second_final_answer", refuse_later, what) > 0);
}

TEST_CASE("a request without an answer is reported")
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

TEST_CASE("two attempts at once and an attempt after the end are reported")
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

TEST_CASE("a decision on a request of another host is reported")
{
    auto const refuse_other = [] {
        return [](auto const& event, auto, auto& out) {
            if (arrival(event) != nullptr) {
                out.emplace_back(
                    make_refusal({arrival(event)->id.value + 1'000'000}));
            }
        };
    };
    CHECK(count_violations("decision_for_another_hosts_request",
                           refuse_other,
                           short_scenario("steady", seconds{3}))
          > 0);
}

// The router knows that it won't serve a request, but refuses it only when the
// client has no time left to retry.
TEST_CASE("a delayed refusal is reported")
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

// The router serves the newest requests first and lets older ones wait in vain,
// although it knows that it won't serve them.
TEST_CASE("a refusal after later requests were served first is reported")
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

// Summaries of the tier `desk` are refused while letters of the lower tier
// `office`, which has had far more than its share, are still queued.
TEST_CASE("a higher tier refused while lower work is queued is reported")
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

TEST_CASE("a lower tier admitted in place of a higher one is reported")
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

TEST_CASE("a refusal without a retry delay or a remedy is reported")
{
    auto const refuse_incompletely = [] {
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
    CHECK(count_violations(
              "refusal_without_retry_after", refuse_incompletely, what)
          > 0);
    CHECK(count_violations("refusal_without_remedy", refuse_incompletely, what)
          > 0);
}

TEST_CASE("waiting longer than max_wait is reported")
{
    auto const dispatch_late = [] {
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
                           dispatch_late,
                           short_scenario("steady", seconds{3}))
          > 0);
}
