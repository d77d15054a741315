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

/// A message on its way.
struct envelope
{
    std::size_t from = 0;
    std::size_t to = 0;
    fleet::claim_message message;
    std::uint64_t hash = 0;

    /// Requests race, and are delivered in any order. All else is delivered
    /// at once and in order unless a fault is spent on it; else the search
    /// would spend itself on orders that make no difference.
    bool races() const
    {
        return std::holds_alternative<fleet::claim_request>(message);
    }
};

/// One state of the whole fleet: hosts, messages on their way, the clock,
/// what ran, and the faults that may still come. Copies share what is equal.
///
/// Thread safety: none; copies are independent.
class world
{
public:
    /// \pre fixed outlives all copies.
    world(scenario const& fixed, fault_budget const& budget);

    /// What may happen next; empty at the end of a history.
    std::vector<step> steps() const;

    /// \pre what is one of `steps()`.
    void apply(step const& what);

    /// 64 bits of hash; equal states have equal ones.
    std::uint64_t hash() const;

    violations const& found() const
    {
        return m_found;
    }

    /// Whether nothing is on its way but what was held back.
    bool quiet() const;

    /// Whether the fleet, once all faults are over, fails to answer a caller
    /// or never runs a new call under the key again. Works on a copy.
    bool stuck() const;

private:
    struct flight
    {
        std::shared_ptr<envelope const> letter;
        bool held = false;
    };

    struct member
    {
        std::shared_ptr<node> state;
        std::uint64_t hash = 0;
    };

    // Steps of one kind, see world_steps.cpp.
    bool add_prompt_steps(std::vector<step>& out) const;
    void add_message_steps(std::vector<step>& out) const;
    void add_call_steps(std::vector<step>& out) const;
    void add_list_steps(std::vector<step>& out) const;
    void add_fault_steps(std::vector<step>& out) const;

    void apply_to_fleet(step const& what);
    node& edit(std::size_t host);
    void seal(std::size_t host);
    void send(std::size_t from, std::vector<fleet::claim_send> const& letters);
    void deliver(std::size_t index, bool keep);
    void tell(std::size_t host, fleet::witness_event const& event);
    void tell(std::size_t host, fleet::claimant_event const& event);
    void tell_both(std::size_t host, fleet::claim_received const& event);
    void take(std::size_t host, fleet::claim_decision const& decision);
    void start(std::size_t host);
    void dispatch(std::size_t host, bool runs);
    void end(std::size_t host, model::outcome outcome);
    void adopt(std::size_t host, std::size_t list);
    void confirm(std::size_t host);
    void tick(std::size_t host);
    void restart(std::size_t host);
    void leap(model::milliseconds by, std::size_t sleeper);
    bool ran_lately() const;
    void heal();
    void drain();

    scenario const* m_fixed;
    fault_budget m_budget;
    model::time_point m_now;
    std::vector<member> m_members;
    std::vector<flight> m_flights;
    std::vector<model::time_point> m_published;
    std::vector<model::time_point> m_runs;
    std::uint64_t m_generations = 0;
    std::uint64_t m_tickets = 0;
    violations m_found;
};

} // namespace caperjunction::claims_explorer

#endif
