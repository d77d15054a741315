#ifndef CAPERJUNCTION_ROUTING_SPEED_WEIGHT_HPP
#define CAPERJUNCTION_ROUTING_SPEED_WEIGHT_HPP

#include "routing/engine_capacity.hpp"

#include <cstddef>

namespace caperjunction::routing {

inline constexpr std::size_t speed_class_count = 3;

/// Returns the rate of a typical member of a class, relative to the typical
/// rate of the service. Decisions that hosts must agree on use it instead of
/// the measured rate, which differs a little between hosts.
constexpr double speed_weight(speed_class speed)
{
    switch (speed) {
    case speed_class::fast:
        return 1.5;
    case speed_class::slow:
        return 0.6;
    case speed_class::typical:
        break;
    }
    return 1.0;
}

} // namespace caperjunction::routing

#endif
