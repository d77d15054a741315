#ifndef CAPERJUNCTION_ROUTING_TEAM_HPP
#define CAPERJUNCTION_ROUTING_TEAM_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::routing {

/// Holder of API keys.
struct team
{
    std::string name;
    std::vector<std::string> keys;
    /// Orders requests of equally ranked routes; if unset, the route's rank is
    /// used.
    std::optional<std::uint32_t> rank;
    /// Regions that may serve its requests; empty: all.
    std::vector<std::string> home_regions;
};

} // namespace caperjunction::routing

#endif
