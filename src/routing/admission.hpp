#ifndef CAPERJUNCTION_ROUTING_ADMISSION_HPP
#define CAPERJUNCTION_ROUTING_ADMISSION_HPP

#include "model/time.hpp"
#include "routing/key_lease.hpp"
#include "routing/refusal.hpp"
#include "routing/route_table.hpp"

#include <optional>
#include <string_view>

namespace caperjunction::routing {

/// What admitting looks at.
struct admission_request
{
    std::string_view authority;
    std::string_view path;
    /// Empty: none was sent.
    std::string_view key;
    /// On the clock of `freshness`, read after the request.
    model::time_point now{};
};

/// A request that may go on, or why it may not.
struct admission
{
    /// Null if refused.
    routing::route const* route = nullptr;
    /// Null on open routes, and where no request needs a key.
    routing::team const* team = nullptr;
    std::optional<refusal_reason> refused;
};

/// Checks route and key against the newest configuration.
///
/// \pre Pointers in the result are valid as long as `table`.
/// Thread safety: any thread.
admission admit(route_table const* table,
                key_lease const& lease,
                admission_request const& request);

} // namespace caperjunction::routing

#endif
