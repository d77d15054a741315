#ifndef CAPERJUNCTION_ROUTING_DISTANCE_HPP
#define CAPERJUNCTION_ROUTING_DISTANCE_HPP

#include <cstdint>

namespace caperjunction::routing {

/// Network distance between an upstream and this host.
enum class distance : std::uint8_t
{
    same_data_centre,
    same_region,
    other_region,
};

} // namespace caperjunction::routing

#endif
