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

/// A mechanism that is switched off, to see what it is worth.
enum class ablation : std::uint8_t
{
    none,
    /// Hosts that are new in a witness set vote at once.
    new_hosts_vote,
    /// A quorum may be used however old it is.
    no_grant_lease,
    /// A host that is cut off from the lists keeps its votes for good.
    no_view_lease,
};

/// What stays the same in all histories of a search: hosts, lists, times.
///
/// Thread safety: immutable; shared between the search's threads.
struct scenario
{
    /// \pre hosts is at least the number of witnesses.
    scenario(std::size_t hosts, int quorum_delta, ablation off);

    /// Only these take calls.
    static constexpr std::size_t entry_hosts = 2;
    static constexpr std::size_t leap_kinds = 4;

    std::vector<std::string> names;
    fleet::claim_settings settings;
    /// In order of revision; the first is in force at the start.
    std::vector<std::shared_ptr<fleet::claim_view const>> lists;
    /// Past the claim timeout, the grant lease, the horizon, the maturity.
    std::array<model::milliseconds, leap_kinds> leaps{};
    /// Between two ticks of a host that doesn't sleep.
    model::milliseconds tick{0};

    std::size_t index_of(std::string const& name) const;
    /// Within that time of a run no second one may happen.
    model::milliseconds promise() const;
};

} // namespace caperjunction::claims_explorer

#endif
