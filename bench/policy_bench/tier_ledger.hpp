#ifndef CAPERJUNCTION_BENCH_TIER_LEDGER_HPP
#define CAPERJUNCTION_BENCH_TIER_LEDGER_HPP

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/planned_request.hpp"

#include <chrono>
#include <deque>
#include <vector>

namespace caperjunction::bench {

/// What part of the engines each tier has been given of late, by the work of
/// what was dispatched: its prompt and its class's mean output. Nobody can
/// know an answer's length when it is dispatched; by true lengths, chance
/// alone would put a tier of few long answers a quarter above its share.
///
/// Thread safety: none.
class tier_ledger
{
public:
    static constexpr std::chrono::seconds window{20};
    /// Hosts share nothing but digests, and each keeps shares of its own.
    static constexpr double slack = 1.25;

    explicit tier_ledger(deployment const& where);

    void dispatched(planned_request const& plan, model::time_point now);

    /// Whether the load's tier has had more than its guaranteed share.
    bool above_share(std::size_t load) const;

private:
    struct entry
    {
        model::time_point at{};
        std::size_t rank = 0;
        double work = 0.0;
    };

    deployment const& m_where;
    std::deque<entry> m_entries;
    std::vector<double> m_work;
};

} // namespace caperjunction::bench

#endif
