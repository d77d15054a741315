#ifndef CAPERJUNCTION_TESTS_BENCH_WRONG_POLICY_HPP
#define CAPERJUNCTION_TESTS_BENCH_WRONG_POLICY_HPP

#include "bench/policy_bench/baselines.hpp"
#include "bench/policy_bench/simulation.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>

namespace caperjunction::tests {

/// Changes what a right policy decided; one for each host.
using twist = std::function<void(
    decide::event const&, model::time_point, std::vector<decide::decision>&)>;

/// A strict priority policy whose decisions pass through a twist.
inline bench::policy_maker make_wrong(std::function<twist()> const& make_twist)
{
    return [make_twist](decide::router_settings const& settings) {
        bench::policy made = bench::make_strict_priority(settings);
        made.handle = [right = made.handle, twisted = make_twist()](
                          decide::event const& event,
                          model::time_point now,
                          std::vector<decide::decision>& out) {
            right(event, now, out);
            twisted(event, now, out);
        };
        return made;
    };
}

/// How often a violation of this kind came up in a short run.
inline std::uint32_t count_violations(std::string const& kind,
                                      std::function<twist()> const& make_twist,
                                      bench::scenario const& what)
{
    auto const where = bench::make_deployment("kitanomine");
    auto const result = bench::simulate(where, what, make_wrong(make_twist), 1);
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
