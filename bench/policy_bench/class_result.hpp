#ifndef CAPERJUNCTION_BENCH_CLASS_RESULT_HPP
#define CAPERJUNCTION_BENCH_CLASS_RESULT_HPP

#include <cstdint>
#include <string>

namespace caperjunction::bench {

/// What the callers of one class got. Each counts once, at its first send,
/// and its times count from there, however often it was told to come back.
struct class_result
{
    std::string name;
    std::string tier;
    std::uint32_t offered = 0;
    std::uint32_t served = 0;
    /// Refused at their last send.
    std::uint32_t refused = 0;
    /// Ended with an error that leaves open whether they ran.
    std::uint32_t failed = 0;
    std::uint32_t hung_up = 0;
    /// Of `served`, those within both targets.
    std::uint32_t within = 0;
    /// Of `served`, those whose first token came too late, and of the others
    /// those whose tokens came too slowly.
    std::uint32_t late = 0;
    std::uint32_t slow = 0;
    /// Those who hung up by their own will while all was in time; they are
    /// neither in nor out of target.
    std::uint32_t not_counted = 0;
    /// Counted ones of all teams but the largest, and those within targets.
    std::uint32_t smaller_teams = 0;
    std::uint32_t smaller_teams_within = 0;
    double promised = 0.0;
    /// Longest time from a send to its first token or refusal.
    double max_wait_s = 0.0;
    /// Whether the tier's demand was within its guaranteed share throughout.
    bool fits_share = true;

    double attainment() const
    {
        std::uint32_t const counted = offered - not_counted;
        return counted == 0 ? 1.0 : static_cast<double>(within) / counted;
    }

    /// Attainment of all teams but the largest: nobody's branch is forgotten
    /// because another one floods.
    double smaller_teams_attainment() const
    {
        return smaller_teams == 0
                   ? 1.0
                   : static_cast<double>(smaller_teams_within) / smaller_teams;
    }
};

} // namespace caperjunction::bench

#endif
