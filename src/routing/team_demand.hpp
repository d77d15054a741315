#ifndef CAPERJUNCTION_ROUTING_TEAM_DEMAND_HPP
#define CAPERJUNCTION_ROUTING_TEAM_DEMAND_HPP

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace caperjunction::routing {

/// Work that one team asks of one service, in prompt tokens a second.
struct team_demand
{
    /// From `team_demand_key` or `other_teams_key`.
    std::uint32_t key = 0;
    /// Of all requests, refused ones included.
    double asked = 0.0;
    /// Of the requests that were sent to an upstream and begin within their
    /// targets, as far as is known.
    double admitted = 0.0;
};

/// Returns the key of a team's demand at a service, the same on all hosts.
inline std::uint32_t team_demand_key(std::string_view service,
                                     std::string_view team)
{
    std::uint64_t const hashes[] = {XXH3_64bits(service.data(), service.size()),
                                    XXH3_64bits(team.data(), team.size())};
    return static_cast<std::uint32_t>(XXH3_64bits(hashes, sizeof hashes));
}

/// Returns the key of the demand at a service of all teams that are not listed
/// by themselves.
inline std::uint32_t other_teams_key(std::string_view service)
{
    constexpr std::uint64_t other_teams_seed = 3;
    return static_cast<std::uint32_t>(
        XXH3_64bits_withSeed(service.data(), service.size(), other_teams_seed));
}

} // namespace caperjunction::routing

#endif
