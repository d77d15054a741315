#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_SCENARIO_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_SCENARIO_HPP

#include "fleet/claim_settings.hpp"
#include "fleet/claim_view.hpp"
#include "model/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::claims_explorer {

/// A mechanism that is disabled to measure its effect.
enum class ablation : std::uint8_t
{
    none,
    /// Hosts that join a witness set vote immediately.
    new_hosts_vote,
    /// A quorum stays usable without a time limit.
    no_grant_lease,
    /// A host that no longer receives host lists keeps its votes forever.
    no_view_lease,
};

/// Parameters that are the same in all histories of a search: hosts, host
/// lists and times.
///
/// Thread safety: immutable; shared by the search threads.
struct scenario
{
    /// \pre hosts is at least the number of witnesses.
    scenario(std::size_t hosts, int quorum_delta, ablation off);

    /// Only the first `entry_hosts` hosts accept calls.
    static constexpr std::size_t entry_hosts = 2;
    static constexpr std::size_t leap_kinds = 4;

    std::vector<std::string> names;
    fleet::claim_settings settings;
    /// Ordered by revision; the first one is in force initially.
    std::vector<std::shared_ptr<fleet::claim_view const>> lists;
    /// Clock jumps: past the claim timeout, the grant lease, the horizon and
    /// the maturity.
    std::array<model::milliseconds, leap_kinds> leaps{};
    /// Interval between two ticks of a host that is not paused.
    model::milliseconds tick{0};

    std::size_t index_of(std::string const& name) const;
    /// Returns the time after a run in which no second run may happen.
    model::milliseconds rerun_exclusion_period() const;
};

} // namespace caperjunction::claims_explorer

#endif
