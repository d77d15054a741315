#ifndef CAPERJUNCTION_BENCH_CLASS_RESULT_HPP
#define CAPERJUNCTION_BENCH_CLASS_RESULT_HPP

#include <cstdint>
#include <string>

namespace caperjunction::bench {

/// Results of the callers of one class. Each caller counts once; its times are
/// measured from its first send, regardless of the number of retries.
struct class_result
{
    std::string name;
    std::string tier;
    std::uint32_t offered = 0;
    std::uint32_t served = 0;
    /// Callers whose last send was refused.
    std::uint32_t refused = 0;
    /// Callers whose request ended with an error of unknown outcome.
    std::uint32_t failed = 0;
    std::uint32_t hung_up = 0;
    /// Part of `served` within both targets.
    std::uint32_t within = 0;
    /// Part of `served` whose first token was too late, and part of the
    /// remaining ones whose tokens were too slow.
    std::uint32_t late = 0;
    std::uint32_t slow = 0;
    /// Callers that hung up as planned while all targets were met; they count
    /// neither as within nor as outside of the targets.
    std::uint32_t not_counted = 0;
    /// Counted callers of all teams but the largest, and the part within
    /// targets.
    std::uint32_t smaller_teams = 0;
    std::uint32_t smaller_teams_within = 0;
    double promised = 0.0;
    /// Maximum time from a send to its first token or refusal.
    double max_wait_s = 0.0;
    /// Whether the tier's peak demand is within its guaranteed share.
    bool fits_share = true;

    double attainment() const
    {
        std::uint32_t const counted = offered - not_counted;
        return counted == 0 ? 1.0 : static_cast<double>(within) / counted;
    }

    /// Attainment of all teams but the largest. It drops if a flood of the
    /// largest team starves the other teams.
    double smaller_teams_attainment() const
    {
        return smaller_teams == 0
                   ? 1.0
                   : static_cast<double>(smaller_teams_within) / smaller_teams;
    }
};

} // namespace caperjunction::bench

#endif
