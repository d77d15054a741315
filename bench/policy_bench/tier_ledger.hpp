#ifndef CAPERJUNCTION_BENCH_TIER_LEDGER_HPP
#define CAPERJUNCTION_BENCH_TIER_LEDGER_HPP

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/planned_request.hpp"

#include <chrono>
#include <deque>
#include <vector>

namespace caperjunction::bench {

/// Share of the engines that each tier has used recently, by the dispatched
/// work: the prompt and the mean output of the class. The length of an answer
/// is unknown at dispatch; with actual lengths, chance alone would put a tier
/// with few long answers a quarter above its share.
///
/// Thread safety: none.
class tier_ledger
{
public:
    static constexpr std::chrono::seconds window{20};
    /// Tolerance factor: hosts only exchange digests, and each enforces the
    /// shares on its own.
    static constexpr double slack = 1.25;

    explicit tier_ledger(deployment const& deployment);

    void dispatched(planned_request const& plan, model::time_point now);

    /// Returns whether the load's tier has used more than its guaranteed share.
    bool above_share(std::size_t load) const;

private:
    struct entry
    {
        model::time_point at{};
        std::size_t rank = 0;
        double work = 0.0;
    };

    deployment const& m_deployment;
    std::deque<entry> m_entries;
    std::vector<double> m_work;
};

} // namespace caperjunction::bench

#endif
