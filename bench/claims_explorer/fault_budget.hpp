#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_FAULT_BUDGET_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_FAULT_BUDGET_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::claims_explorer {

/// Maximum number of faults of each kind in one history. The limits keep the
/// search finite: every step other than a fault brings a history closer to its
/// end.
struct fault_budget
{
    /// Lost messages.
    std::uint8_t drops = 0;
    /// Messages other than requests that are delayed without a bound. Requests
    /// are always delivered in any order and at any time.
    std::uint8_t holds = 0;
    /// Messages delivered twice; the second delivery may happen at any time.
    std::uint8_t duplicates = 0;
    std::uint8_t crashes = 0;
    std::uint8_t restarts = 0;
    /// Clock jumps past a lease, a horizon or a pause.
    std::uint8_t leaps = 0;
    /// Hosts that are paused during a clock jump.
    std::uint8_t pauses = 0;
    /// New host lists; each host adopts one at any time or never.
    std::uint8_t lists = 0;
    /// Planned host stops.
    std::uint8_t leaves = 0;
    /// Repeated sends of the call by the caller, to either entry host.
    std::uint8_t resends = 1;
};

/// A named fault budget, as listed in the report.
struct fault_profile
{
    std::string name;
    fault_budget budget;
    /// Fraction of the state limit that this profile may use.
    double share = 1.0;
};

/// Returns small profiles, most of which are searched exhaustively. A full run
/// adds larger profiles, of which each seed explores a different part.
std::vector<fault_profile> fault_profiles(bool full);

/// Returns the budget of the search over engine orders. Its `resends` count
/// order requests.
fault_budget order_budget(bool full);

} // namespace caperjunction::claims_explorer

#endif
