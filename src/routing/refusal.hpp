#ifndef CAPERJUNCTION_ROUTING_REFUSAL_HPP
#define CAPERJUNCTION_ROUTING_REFUSAL_HPP

#include "model/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace caperjunction::routing {

/// Why a host ends a request by itself.
enum class refusal_reason : std::uint8_t
{
    /// No configuration has been read yet.
    no_configuration,
    no_route,
    key_missing,
    key_unknown,
    /// The keys that this host knows were confirmed too long ago.
    keys_stale,
    /// No upstream of the service is known or can be reached.
    no_upstream,
    /// All upstreams of the service take fewer requests than come.
    limited,
    /// No upstream would answer before the caller's deadline.
    too_late,
    /// Every upstream that was asked was full.
    upstream_full,
    /// It was on its way at several upstreams when they broke.
    quarantined,
    /// The host is about to stop.
    stopping,
    /// The host holds as many bytes as it may.
    host_full,
    /// The upstream broke off, and the request must not be sent again.
    upstream_failed,
    /// The caller's deadline or the route's timeout has passed.
    timed_out,
    malformed,
    head_too_long,
    body_too_long,
    caller_too_slow,
};

/// Stable name, for logs and metric labels.
std::string_view to_string(refusal_reason reason);

/// What the caller is told.
struct refusal
{
    refusal_reason reason = refusal_reason::no_configuration;
    int status = 503;
    /// Set where the request has not run: when to come back.
    std::optional<model::milliseconds> retry_after;
};

/// The answer that fits `reason`. `may_have_run`: an upstream was handed the
/// request and didn't say that it has not run it. `comes_back`: when to come
/// back, where that is known better than by the reason alone.
refusal refuse(refusal_reason reason,
               bool may_have_run,
               std::optional<model::milliseconds> retry_after = std::nullopt);

/// What to do about it, for the answer's body.
std::string_view remedy_of(refusal_reason reason);

} // namespace caperjunction::routing

#endif
