#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ORDER_WORLD_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ORDER_WORLD_HPP

#include "bench/claims_explorer/fault_budget.hpp"
#include "bench/claims_explorer/order_scenario.hpp"
#include "bench/claims_explorer/step.hpp"
#include "bench/claims_explorer/violations.hpp"
#include "fleet/orderer.hpp"
#include "model/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace caperjunction::claims_explorer {

/// Two hosts that take turns in ordering one engine, by lists that reach them
/// late, and orders that take their time. A budget's resends are wishes.
///
/// Thread safety: none; copies are independent.
class order_world
{
public:
    /// \pre fixed outlives all copies.
    order_world(order_scenario const& fixed, fault_budget const& budget);

    std::vector<step> steps() const;

    /// \pre what is one of `steps()`.
    void apply(step const& what);

    std::uint64_t hash() const;

    violations const& found() const
    {
        return m_found;
    }

    /// Whether no order is on its way.
    bool quiet() const;

    /// Whether, once all faults are over, a wish leads to no order.
    bool stuck() const;

private:
    static constexpr std::size_t host_count = 2;
    static constexpr std::size_t list_count = 3;

    struct host
    {
        fleet::orderer orderer;
        std::size_t list = 0;
        bool alive = true;
        bool slept = false;
        /// Decided, but its first byte hasn't left.
        std::optional<fleet::order> waiting;
    };

    struct flight
    {
        fleet::order order;
        model::time_point left{};
    };

    host make_host(std::size_t index, std::size_t list);
    void tell(std::size_t index, fleet::order_event const& event);
    void adopt(std::size_t index, std::size_t list);
    void confirm(std::size_t index);
    void depart(std::size_t index);
    void arrive(std::size_t index);
    void leap(model::milliseconds by, std::size_t sleeper);

    order_scenario const* m_fixed;
    fault_budget m_budget;
    model::time_point m_now;
    std::uint64_t m_generations = 0;
    std::vector<host> m_hosts;
    std::vector<model::time_point> m_published;
    std::vector<flight> m_flights;
    fleet::fencing_number m_highest;
    std::uint64_t m_taken = 0;
    violations m_found;
};

} // namespace caperjunction::claims_explorer

#endif
