#ifndef CAPERJUNCTION_TESTS_BENCH_FAULTY_POLICY_HPP
#define CAPERJUNCTION_TESTS_BENCH_FAULTY_POLICY_HPP

#include "bench/policy_bench/baselines.hpp"
#include "bench/policy_bench/simulation.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

namespace caperjunction::tests {

/// Modifies the decisions of a correct policy; one per host.
using decision_filter = std::function<void(
    decide::event const&, model::time_point, std::vector<decide::decision>&)>;

/// Creates a strict priority policy whose decisions pass through a filter.
inline bench::policy_maker
make_faulty(std::function<decision_filter()> const& make_filter)
{
    return [make_filter](decide::router_settings const& settings) {
        bench::policy made = bench::make_strict_priority(settings);
        made.handle = [correct = made.handle, filter = make_filter()](
                          decide::event const& event,
                          model::time_point now,
                          std::vector<decide::decision>& out) {
            correct(event, now, out);
            filter(event, now, out);
        };
        return made;
    };
}

/// Returns how often a violation of this kind is recorded in a run.
inline std::uint32_t
count_violations(std::string const& kind,
                 std::function<decision_filter()> const& make_filter,
                 bench::scenario const& what)
{
    auto const where = bench::make_deployment("kitanomine");
    auto const result =
        bench::simulate(where, what, make_faulty(make_filter), 1);
    auto const found = std::find_if(result.violations.begin(),
                                    result.violations.end(),
                                    [&kind](bench::violation const& one) {
                                        return one.kind == kind;
                                    });
    return found == result.violations.end() ? 0 : found->count;
}

inline bench::scenario short_scenario(char const* name,
                                      std::chrono::seconds length)
{
    bench::scenario what = bench::make_scenario(name);
    what.length = length;
    what.from = length / 3;
    what.until = length;
    return what;
}

inline decide::refuse make_refusal(model::request_id id)
{
    return {id,
            model::error_kind::refused,
            model::outcome::not_run,
            model::milliseconds{1'000},
            "wrong",
            "send it again later"};
}

} // namespace caperjunction::tests

#endif
