#ifndef CAPERJUNCTION_PROXY_TEAM_SHARE_STATE_HPP
#define CAPERJUNCTION_PROXY_TEAM_SHARE_STATE_HPP

#include "model/time.hpp"
#include "routing/demand_meter.hpp"
#include "routing/excess_limit.hpp"
#include "routing/route_table.hpp"
#include "routing/team_demand_table.hpp"
#include "routing/team_key_index.hpp"
#include "routing/team_shares.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// A team that goes above its share at a service, or returns to it. Rates are
/// in prompt tokens a second over all hosts.
struct over_share_report
{
    std::string_view service;
    std::string_view team;
    bool is_above = false;
    double team_asked = 0.0;
    /// Negative if all teams are within their shares.
    double level = -1.0;
    double asked = 0.0;
    double admitted = 0.0;
};

/// Demand of teams and their shares as this host knows them.
///
/// Thread safety: none; owned by the loop's task.
struct team_share_state
{
    /// What was last reported of a team.
    struct reported_team
    {
        bool is_above = false;
        model::time_point at{};
    };

    routing::demand_meter meter;
    routing::team_demand_table demands;
    routing::team_key_index index;
    /// The configuration of `index`.
    std::shared_ptr<routing::route_table const> indexed;
    std::map<std::string, routing::team_shares> services;
    /// By service, as `services`.
    std::map<std::string, routing::excess_limit> excess_limits;
    /// By demand key; teams that were above their shares.
    std::map<std::uint32_t, reported_team> reported;
    /// Called at most once a second for each team and service.
    std::function<void(over_share_report const&)> on_over_share;

    /// Teams of a service that digests list by themselves.
    static constexpr std::size_t max_listed = 32;
};

} // namespace caperjunction::proxy

#endif
