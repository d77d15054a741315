#ifndef CAPERJUNCTION_ROUTING_CALLER_LIMITS_HPP
#define CAPERJUNCTION_ROUTING_CALLER_LIMITS_HPP

#include "model/time.hpp"

#include <cstddef>

namespace caperjunction::routing {

/// What a caller may send, and how long it may take. The defaults hold until
/// the first configuration is known.
struct caller_limits
{
    std::size_t header_bytes = 16'384;
    std::size_t body_bytes = 4'194'304;
    /// Time for the whole head of a request.
    model::milliseconds header_timeout{3'000};
    /// Time that a connection may stay open between two requests.
    model::milliseconds idle_timeout{15'000};
};

} // namespace caperjunction::routing

#endif
