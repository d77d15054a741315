#ifndef CAPERJUNCTION_ROUTING_CALLER_LIMITS_HPP
#define CAPERJUNCTION_ROUTING_CALLER_LIMITS_HPP

#include "model/time.hpp"

#include <cstddef>

namespace caperjunction::routing {

/// Limits on the size and duration of caller requests. The defaults apply until
/// the first configuration is known.
struct caller_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    /// Maximum time to receive a complete request head.
    model::milliseconds header_timeout{3'000};
    /// Maximum time a connection may stay open between two requests.
    model::milliseconds idle_timeout{15'000};
};

} // namespace caperjunction::routing

#endif
