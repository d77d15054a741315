#ifndef CAPERJUNCTION_ROUTING_REQUEST_KIND_HPP
#define CAPERJUNCTION_ROUTING_REQUEST_KIND_HPP

#include <cstdint>

namespace caperjunction::routing {

/// Whether a request may be repeated if its outcome is unknown.
enum class request_kind : std::uint8_t
{
    /// May run any number of times.
    idempotent,
    /// May run at most once: never sent again unless it is certain that it has
    /// not run.
    at_most_once,
    /// Answered by a series of events. May run at most once unless its route is
    /// resumable.
    stream,
};

} // namespace caperjunction::routing

#endif
