#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_WORLD_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_WORLD_HPP

#include "bench/claims_explorer/fault_budget.hpp"
#include "bench/claims_explorer/node.hpp"
#include "bench/claims_explorer/scenario.hpp"
#include "bench/claims_explorer/step.hpp"
#include "bench/claims_explorer/violations.hpp"
#include "fleet/claim_message.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::claims_explorer {

/// A message in flight.
struct envelope
{
    std::size_t from = 0;
    std::size_t to = 0;
    fleet::claim_message message;
    std::uint64_t hash = 0;

    /// Requests are delivered in any order. All other messages are delivered
    /// immediately and in order, unless the fault budget is spent on them;
    /// otherwise the search would use up its states on message orders that
    /// make no difference.
    bool is_unordered() const
    {
        return std::holds_alternative<fleet::claim_request>(message);
    }
};

/// One state of the fleet: hosts, messages in flight, the clock, past runs and
/// the remaining fault budget. Copies share unchanged nodes and messages.
///
/// Thread safety: none; copies are independent.
class world
{
public:
    /// \pre fixed outlives all copies.
    world(scenario const& fixed, fault_budget const& budget);

    /// Returns the possible next steps; empty at the end of a history.
    std::vector<step> steps() const;

    /// \pre what is an element of `steps()`.
    void apply(step const& what);

    /// Returns a 64-bit hash. Equal states have equal hashes.
    std::uint64_t hash() const;

    violations const& found_violations() const
    {
        return m_violations;
    }

    /// Returns whether only delayed messages are in flight.
    bool is_quiescent() const;

    /// Returns whether the fleet, after all faults have ended, leaves a caller
    /// without an answer or never runs a new call under the key again. Works
    /// on a copy.
    bool is_stuck() const;

private:
    struct message_in_flight
    {
        std::shared_ptr<envelope const> packet;
        bool held = false;
    };

    struct member
    {
        std::shared_ptr<node> state;
        std::uint64_t hash = 0;
    };

    // Defined in world_steps.cpp.
    bool add_in_order_steps(std::vector<step>& out) const;
    void add_message_steps(std::vector<step>& out) const;
    void add_call_steps(std::vector<step>& out) const;
    void add_list_steps(std::vector<step>& out) const;
    void add_fault_steps(std::vector<step>& out) const;

    void apply_to_fleet(step const& what);
    node& mutable_node(std::size_t host);
    void update_hash(std::size_t host);
    void send(std::size_t from, std::vector<fleet::claim_send> const& messages);
    void deliver(std::size_t index, bool keep);
    void handle_event(std::size_t host, fleet::witness_event const& event);
    void handle_event(std::size_t host, fleet::claimant_event const& event);
    void handle_message(std::size_t host, fleet::claim_received const& event);
    void execute(std::size_t host, fleet::claim_decision const& decision);
    void start(std::size_t host);
    void dispatch(std::size_t host, bool runs);
    void end(std::size_t host, model::outcome outcome);
    void adopt(std::size_t host, std::size_t list);
    void confirm(std::size_t host);
    void tick(std::size_t host);
    void restart(std::size_t host);
    void leap(model::milliseconds by, std::size_t paused_host);
    bool ran_recently() const;
    void recover_hosts();
    void drain_messages();

    scenario const* m_scenario;
    fault_budget m_budget;
    model::time_point m_now;
    std::vector<member> m_members;
    std::vector<message_in_flight> m_in_flight;
    std::vector<model::time_point> m_published;
    std::vector<model::time_point> m_runs;
    std::uint64_t m_generations = 0;
    std::uint64_t m_tickets = 0;
    violations m_violations;
};

} // namespace caperjunction::claims_explorer

#endif
