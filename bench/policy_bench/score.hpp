#ifndef CAPERJUNCTION_BENCH_SCORE_HPP
#define CAPERJUNCTION_BENCH_SCORE_HPP

#include "bench/policy_bench/callers.hpp"
#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/fleet.hpp"
#include "bench/policy_bench/run_result.hpp"
#include "bench/policy_bench/scenario.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// Computes the results of a finished run, except for violations and bytes.
class score
{
public:
    score(deployment const& deployment,
          scenario const& scenario,
          std::uint64_t seed,
          callers const& from,
          fleet const& hosts);

    void fill(run_result& result) const;

private:
    struct work_sums
    {
        double demanded = 0.0;
        double in_time = 0.0;
        double in_time_in_window = 0.0;
    };

    class_result describe(std::size_t load) const;
    void count(caller const& sender, class_result& into) const;
    bool in_time(caller const& sender) const;
    bool within(caller const& sender) const;
    bool left_in_time(caller const& sender) const;
    double work_of(caller const& sender) const;
    double work_in_window(send const& request) const;
    double settled_work(send const& request) const;
    work_sums sum_work() const;
    double wasted() const;
    std::vector<tier_result> tiers() const;
    std::vector<region_result> regions() const;
    double capacity() const;
    model::time_point window_end() const;

    deployment const& m_deployment;
    scenario const& m_scenario;
    std::uint64_t m_seed;
    callers const& m_callers;
    fleet const& m_fleet;
};

} // namespace caperjunction::bench

#endif
