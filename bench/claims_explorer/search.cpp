#include "bench/claims_explorer/search.hpp"

#include "bench/claims_explorer/order_world.hpp"
#include "bench/claims_explorer/search_worker.hpp"
#include "bench/claims_explorer/world.hpp"

#include <thread>

namespace caperjunction::claims_explorer {

namespace {

void add(search_result& sum, search_result const& part)
{
    sum.runs_twice += part.runs_twice;
    sum.false_not_run += part.false_not_run;
    sum.stale_orders += part.stale_orders;
    sum.stuck += part.stuck;
    sum.settled += part.settled;
    sum.exhaustive = sum.exhaustive && part.exhaustive;
    if (sum.history.empty()) {
        sum.history = part.history;
    }
}

template <typename State>
search_result run_search(State const& from, search_limits const& limits)
{
    auto const visited = std::make_unique<visited_states>();
    branch_pool<State> pool(limits.threads);
    visited->insert(from.hash());
    std::vector<branch<State>> first;
    first.push_back({from, 0, nullptr});
    pool.push(std::move(first));

    std::vector<std::unique_ptr<search_worker<State>>> workers;
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < limits.threads; ++index) {
        workers.push_back(std::make_unique<search_worker<State>>(
            pool, *visited, limits, limits.seed + index));
        threads.emplace_back([one = workers.back().get()] {
            one->run();
        });
    }
    search_result sum;
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
        add(sum, workers[index]->result());
    }
    sum.states = visited->size();
    return sum;
}

} // namespace

search_result search(scenario const& fixed,
                     fault_budget const& budget,
                     search_limits const& limits)
{
    return run_search(world(fixed, budget), limits);
}

search_result search_orders(order_scenario const& fixed,
                            fault_budget const& budget,
                            search_limits const& limits)
{
    return run_search(order_world(fixed, budget), limits);
}

} // namespace caperjunction::claims_explorer
