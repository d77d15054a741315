#ifndef CAPERJUNCTION_ROUTING_REQUEST_KIND_HPP
#define CAPERJUNCTION_ROUTING_REQUEST_KIND_HPP

#include <cstdint>

namespace caperjunction::routing {

/// What may be done with a request whose fate is unknown.
enum class request_kind : std::uint8_t
{
    /// May run any number of times.
    idempotent,
    /// May run once at most: never sent again unless it provably has not run.
    at_most_once,
    /// A series of events; at most once, unless its route may be resumed.
    stream,
};

} // namespace caperjunction::routing

#endif
