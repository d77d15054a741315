#ifndef CAPERJUNCTION_ROUTING_LOCATION_HPP
#define CAPERJUNCTION_ROUTING_LOCATION_HPP

#include "routing/distance.hpp"

#include <string>

namespace caperjunction::routing {

/// Where a data centre is.
struct location
{
    /// From this host.
    distance network_distance = distance::same_data_centre;
    /// Empty if the region isn't known.
    std::string region;
};

} // namespace caperjunction::routing

#endif
