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

/// Limits of a search.
struct search_limits
{
    /// Maximum number of steps in one history.
    std::size_t depth = 120;
    /// Maximum number of distinct states. A search that reaches it is not
    /// exhaustive.
    std::size_t max_states = 1'000'000;
    std::size_t threads = 1;
    /// Determines the order of steps; only matters if `max_states` is reached.
    std::uint64_t seed = 1;
    /// Stops at the first violation.
    bool stop_at_first = false;
};

/// Result of a search.
struct search_result
{
    std::size_t states = 0;
    std::size_t runs_twice = 0;
    std::size_t false_not_run = 0;
    /// Orders of an older orderer that an engine accepted after an order of a
    /// newer one.
    std::size_t stale_orders = 0;
    std::size_t stuck = 0;
    /// Quiescent states that were checked for recovery.
    std::size_t settled = 0;
    /// Whether every history within the budget was explored to its end.
    bool exhaustive = true;
    /// Steps that lead to the first violation.
    std::vector<step> history;
};

/// Explores all histories that `budget` allows; visits each state once.
search_result search(scenario const& fixed,
                     fault_budget const& budget,
                     search_limits const& limits);

/// Explores all histories of two hosts that send orders to one engine.
search_result search_orders(order_scenario const& fixed,
                            fault_budget const& budget,
                            search_limits const& limits);

} // namespace caperjunction::claims_explorer

#endif
