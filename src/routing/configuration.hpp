#ifndef CAPERJUNCTION_ROUTING_CONFIGURATION_HPP
#define CAPERJUNCTION_ROUTING_CONFIGURATION_HPP

#include "routing/caller_limits.hpp"
#include "routing/route.hpp"
#include "routing/service.hpp"
#include "routing/team.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::routing {

/// One version of the operator's complete configuration.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    /// If empty, no request needs a key.
    std::vector<team> teams;
};

} // namespace caperjunction::routing

#endif
