#ifndef CAPERJUNCTION_ROUTING_REFUSAL_HPP
#define CAPERJUNCTION_ROUTING_REFUSAL_HPP

#include "model/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace caperjunction::routing {

/// Why a host ends a request itself.
enum class refusal_reason : std::uint8_t
{
    /// No configuration has been read yet.
    no_configuration,
    no_route,
    key_missing,
    key_unknown,
    /// The lease of the keys known to this host has expired.
    keys_stale,
    /// No upstream of the service is known or reachable.
    no_upstream,
    /// All upstreams of the service are at their request limits.
    limited,
    /// No upstream would answer before the caller's deadline.
    too_late,
    /// The request exceeds its team's share of a service that can't serve all.
    over_share,
    /// Every upstream that was attempted was full.
    upstream_full,
    /// The request was in flight at several upstreams when they crashed.
    quarantined,
    /// Its prompt holds a part that crashes upstreams.
    part_kept_back,
    /// Its prompt holds a part that may crash upstreams, and another request
    /// that holds it runs.
    part_on_trial,
    /// The host is about to stop.
    stopping,
    /// The host has buffered the maximum number of bytes.
    host_full,
    /// The upstream failed during the request, which must not be sent again.
    upstream_failed,
    /// No host that could be asked knows which software version began the
    /// stream that the caller takes up.
    version_unknown,
    /// No upstream of the software version that began the stream stays.
    version_gone,
    /// The caller's deadline or the route's timeout has passed.
    timed_out,
    malformed,
    head_too_long,
    body_too_long,
    caller_too_slow,
};

/// Returns a stable name for logs and metric labels.
std::string_view to_string(refusal_reason reason);

/// Answer to a caller whose request is refused.
struct refusal
{
    refusal_reason reason = refusal_reason::no_configuration;
    int status = 503;
    /// Retry delay; set only if the request has not run.
    std::optional<model::milliseconds> retry_after;
};

/// Returns the answer for `reason`. `may_have_run`: an upstream received the
/// request and did not report that it has not run it. `retry_after` replaces
/// the default retry delay of the reason.
refusal refuse(refusal_reason reason,
               bool may_have_run,
               std::optional<model::milliseconds> retry_after = std::nullopt);

/// Returns the remedy for the body of the answer.
std::string_view remedy_of(refusal_reason reason);

} // namespace caperjunction::routing

#endif
