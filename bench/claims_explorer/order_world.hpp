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

/// State of two hosts that alternate as the orderer of one engine. Host lists
/// reach them late, and orders are in flight for some time. The `resends` of
/// the budget count order requests.
///
/// Thread safety: none; copies are independent.
class order_world
{
public:
    /// \pre fixed outlives all copies.
    order_world(order_scenario const& fixed, fault_budget const& budget);

    std::vector<step> steps() const;

    /// \pre what is an element of `steps()`.
    void apply(step const& what);

    std::uint64_t hash() const;

    violations const& found_violations() const
    {
        return m_violations;
    }

    /// Returns whether no order is in flight.
    bool is_quiescent() const;

    /// Returns whether an order request has no effect after all faults have
    /// ended. Works on a copy.
    bool is_stuck() const;

private:
    static constexpr std::size_t host_count = 2;
    static constexpr std::size_t list_count = 3;

    struct host
    {
        fleet::orderer orderer;
        std::size_t list = 0;
        bool alive = true;
        bool was_paused = false;
        /// Order that is decided, but whose first byte is not sent yet.
        std::optional<fleet::order> waiting;
    };

    struct order_in_flight
    {
        fleet::order order;
        model::time_point left{};
    };

    host make_host(std::size_t index, std::size_t list);
    void handle_event(std::size_t index, fleet::order_event const& event);
    void adopt(std::size_t index, std::size_t list);
    void confirm(std::size_t index);
    void send_order(std::size_t index);
    void deliver_order(std::size_t index);
    void leap(model::milliseconds by, std::size_t paused_host);

    order_scenario const* m_scenario;
    fault_budget m_budget;
    model::time_point m_now;
    std::uint64_t m_generations = 0;
    std::vector<host> m_hosts;
    std::vector<model::time_point> m_published;
    std::vector<order_in_flight> m_in_flight;
    fleet::fencing_number m_highest;
    std::uint64_t m_taken = 0;
    violations m_violations;
};

} // namespace caperjunction::claims_explorer

#endif
