#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_FAULT_BUDGET_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_FAULT_BUDGET_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::claims_explorer {

/// How many faults of each kind one history may have. They make the search
/// finite: every step but a fault brings a history nearer to its end.
struct fault_budget
{
    /// Messages that are lost.
    std::uint8_t drops = 0;
    /// Messages held back for as long as the search likes, beyond requests,
    /// which are delivered in any order and at any time anyway.
    std::uint8_t holds = 0;
    /// Messages delivered twice, the second time at any time.
    std::uint8_t duplicates = 0;
    std::uint8_t crashes = 0;
    std::uint8_t restarts = 0;
    /// Leaps of the clock past a lease, a horizon or a pause.
    std::uint8_t leaps = 0;
    /// Hosts that sleep through a leap.
    std::uint8_t pauses = 0;
    /// New lists of hosts, adopted by each host at any time or never.
    std::uint8_t lists = 0;
    /// Planned stops.
    std::uint8_t leaves = 0;
    /// Times that the caller sends the call again, to either entry host.
    std::uint8_t resends = 1;
};

/// A budget with a name, as the report lists it.
struct fault_profile
{
    std::string name;
    fault_budget budget;
    /// Of the states that a search may see.
    double share = 1.0;
};

/// Small profiles, most of them followed to the last history, and for the
/// full run larger ones, of which each seed sees another part.
std::vector<fault_profile> fault_profiles(bool full);

/// Of the search over an engine's orders; its resends are wishes.
fault_budget order_budget(bool full);

} // namespace caperjunction::claims_explorer

#endif
