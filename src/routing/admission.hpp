#ifndef CAPERJUNCTION_ROUTING_ADMISSION_HPP
#define CAPERJUNCTION_ROUTING_ADMISSION_HPP

#include "model/time.hpp"
#include "routing/home_regions.hpp"
#include "routing/key_lease.hpp"
#include "routing/refusal.hpp"
#include "routing/route_table.hpp"

#include <optional>
#include <string_view>

namespace caperjunction::routing {

/// Properties of a request that admission depends on.
struct admission_request
{
    std::string_view authority;
    std::string_view path;
    /// Empty if the request has no key.
    std::string_view key;
    /// Time on the clock of `key_lease`, read after the request has arrived.
    model::time_point now{};
};

/// Result of admission: the matched route and team, or the reason for refusal.
struct admission
{
    /// Null if the request is refused.
    routing::route const* route = nullptr;
    /// Null on public routes and if the configuration has no teams.
    routing::team const* team = nullptr;
    std::optional<refusal_reason> refused;
    /// Regions that may serve the request.
    home_regions homes;
};

/// Checks the route and the API key of a request against the newest
/// configuration.
///
/// `table` may be null, before a configuration is known. Pointers in the result
/// are valid as long as `table`.
/// Thread safety: any thread.
admission admit(route_table const* table,
                key_lease const& lease,
                admission_request const& request);

} // namespace caperjunction::routing

#endif
