// Like auditor_test.cpp, for the checks of upstreams and regions.
#include "bench/faulty_policy.hpp"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <string>

using namespace caperjunction;
using tests::count_violations;
using tests::make_refusal;
using tests::short_scenario;

namespace {

using std::chrono::seconds;

tests::decision_filter do_nothing()
{
    return [](auto const&, auto, auto&) {};
}

tests::decision_filter to_unknown_upstream()
{
    return [](auto const&, auto, auto& out) {
        for (auto& one : out) {
            if (auto* made = std::get_if<decide::dispatch>(&one)) {
                made->upstream = "none";
            }
        }
    };
}

} // namespace

// The policy does not record which request ran when an engine crashed, and the
// caller sends it again: one engine after another is lost.
TEST_CASE("engines lost to one request are counted")
{
    auto const where = bench::make_deployment("kitanomine");
    auto const result = bench::simulate(where,
                                        bench::make_scenario("killer_request"),
                                        bench::make_round_robin,
                                        1);
    CHECK(result.engines_lost > 2);
    bool noticed = false;
    for (bench::violation const& one : result.violations) {
        noticed = noticed || one.kind == "engines_lost_to_one_request";
    }
    CHECK(noticed);
}

// The link is cut, and a region with its own engines refuses all requests.
TEST_CASE("a region that stops while the link is cut is reported")
{
    auto const stop = [] {
        return [](auto const& event, auto, auto& out) {
            auto const* const arrived =
                std::get_if<decide::request_arrived>(&event);
            if (arrived != nullptr) {
                out.clear();
                out.emplace_back(make_refusal(arrived->request.id));
            }
        };
    };
    auto const what = short_scenario("region_cut", seconds{9});
    CHECK(count_violations("region_stopped", stop, what) == 2);
    CHECK(count_violations(
              "region_stopped", do_nothing, bench::make_scenario("region_cut"))
          == 0);
}

TEST_CASE("a dispatch to an unknown upstream is reported")
{
    CHECK(count_violations("dispatched_to_nowhere",
                           to_unknown_upstream,
                           short_scenario("steady", seconds{3}))
          > 0);
}

TEST_CASE("a hand-over of a running request is reported")
{
    auto const move = [] {
        return [](auto const& event, auto, auto& out) {
            auto const* const arrived =
                std::get_if<decide::request_arrived>(&event);
            if (arrived != nullptr) {
                out.emplace_back(
                    decide::hand_over{arrived->request.id, "host-1", "wrong"});
            }
        };
    };
    CHECK(count_violations("hand_over_out_of_place",
                           move,
                           short_scenario("steady", seconds{3}))
          > 0);
}

// A caller has received the first tokens; the attempt is cancelled and never
// restarted, and the caller gets no final answer.
TEST_CASE("an answer that starts and never ends is reported")
{
    auto const drop = [] {
        auto const dropped = std::make_shared<std::set<std::uint64_t>>();
        auto const upstreams =
            std::make_shared<std::map<std::uint64_t, std::string>>();
        return [dropped, upstreams](auto const& event, auto, auto& out) {
            for (auto const& one : out) {
                if (auto const* made = std::get_if<decide::dispatch>(&one)) {
                    (*upstreams)[made->id.value] = made->upstream;
                }
            }
            auto const* const relayed =
                std::get_if<decide::tokens_relayed>(&event);
            if (relayed != nullptr
                && dropped->insert(relayed->id.value).second) {
                out.emplace_back(decide::cancel_attempt{
                    relayed->id, (*upstreams)[relayed->id.value], "wrong"});
            }
        };
    };
    CHECK(count_violations(
              "no_final_answer", drop, short_scenario("steady", seconds{2}))
          > 0);
}
