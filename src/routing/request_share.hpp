#ifndef CAPERJUNCTION_ROUTING_REQUEST_SHARE_HPP
#define CAPERJUNCTION_ROUTING_REQUEST_SHARE_HPP

#include "routing/excess_limit.hpp"

#include <cstdint>
#include <string_view>

namespace caperjunction::routing {

/// Whether a request is within the share of its team.
enum class share_result : std::uint8_t
{
    /// It was not evaluated: there are no shares, or they don't apply.
    none,
    within,
    excess,
};

/// Returns a stable name for logs; empty for `none`.
constexpr std::string_view to_string(share_result result)
{
    switch (result) {
    case share_result::within:
        return "within";
    case share_result::excess:
        return "excess";
    case share_result::none:
        break;
    }
    return "";
}

/// Share of one request and the values behind it, in prompt tokens a second
/// over all hosts.
struct request_share
{
    share_result result = share_result::none;
    /// Demand of the request's team at the service.
    double team_asked = 0.0;
    /// Fraction of that which is within the team's share.
    double fraction_within = 1.0;
    /// Demand up to which teams are within their shares; negative: all are.
    double level = -1.0;
    /// Sums over all teams.
    double asked = 0.0;
    double admitted = 0.0;
    /// Maximum forecast of excess at the service, as a share of the latency
    /// target.
    double excess_limit = routing::excess_limit::highest;
};

} // namespace caperjunction::routing

#endif
