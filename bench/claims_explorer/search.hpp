#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_SEARCH_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_SEARCH_HPP

#include "bench/claims_explorer/fault_budget.hpp"
#include "bench/claims_explorer/order_scenario.hpp"
#include "bench/claims_explorer/scenario.hpp"
#include "bench/claims_explorer/step.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace caperjunction::claims_explorer {

/// How far a search goes.
struct search_limits
{
    /// Steps of one history.
    std::size_t depth = 120;
    /// Different states; a search that meets it is not exhaustive.
    std::size_t max_states = 1'000'000;
    std::size_t threads = 1;
    /// Shuffles the order of steps; matters only if `max_states` is met.
    std::uint64_t seed = 1;
    /// End at the first violation.
    bool stop_at_first = false;
};

/// What a search saw.
struct search_result
{
    std::size_t states = 0;
    std::size_t runs_twice = 0;
    std::size_t false_not_run = 0;
    /// Orders of an older orderer that an engine took after a newer one's.
    std::size_t stale_orders = 0;
    std::size_t stuck = 0;
    /// Quiet states whose way out was tried.
    std::size_t settled = 0;
    /// Every history within the budget was followed to its end.
    bool exhaustive = true;
    /// Steps to the first violation.
    std::vector<step> history;
};

/// Follows all histories that `budget` allows, each state once.
search_result search(scenario const& fixed,
                     fault_budget const& budget,
                     search_limits const& limits);

/// Follows all histories of two hosts that order one engine.
search_result search_orders(order_scenario const& fixed,
                            fault_budget const& budget,
                            search_limits const& limits);

} // namespace caperjunction::claims_explorer

#endif
