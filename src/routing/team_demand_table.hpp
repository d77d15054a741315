#ifndef CAPERJUNCTION_ROUTING_TEAM_DEMAND_TABLE_HPP
#define CAPERJUNCTION_ROUTING_TEAM_DEMAND_TABLE_HPP

#include "model/time.hpp"
#include "routing/team_demand.hpp"
#include "routing/team_key_index.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// Demand of teams over the fleet, as this host knows it.
///
/// When hosts fall silent, they may be partitioned from this one and go on with
/// their requests. Their last demand is kept for some seconds, scaled by the
/// change of this host's own.
///
/// Thread safety: none; owned by one task.
class team_demand_table
{
public:
    /// Records the demand of this host, what the others report, and how many of
    /// them live. Demands of keys that `index` lacks are ignored.
    void update(std::vector<team_demand> const& own,
                std::vector<team_demand> const& reported,
                std::size_t live_hosts,
                team_key_index const& index,
                model::time_point now);

    /// Calls `visit(service, demands)` with the demand of the fleet.
    template <typename Visit>
    void each_service(Visit const& visit) const
    {
        for (auto const& [service, demands] : m_services) {
            visit(service, demands);
        }
    }

    /// Returns the demand of the fleet at a service.
    std::vector<team_demand> const& of_service(std::string const& name) const;

    /// Teams of other hosts that are listed by themselves, for each service.
    static constexpr std::size_t max_others = 64;

private:
    using demands = std::unordered_map<std::uint32_t, team_demand>;

    /// Hosts that fell silent and have not returned.
    struct loss
    {
        /// When the last of them fell silent.
        model::time_point at{};
        /// Live hosts without it.
        std::size_t hosts = 0;
        /// This host's own demand at `at`.
        double own_asked = 0.0;
        /// Demand of all other hosts at `at`, and the part that is no longer
        /// reported.
        demands before;
        demands missing;
    };

    void
    record_hosts(std::size_t live, double own_asked, model::time_point now);
    void update_missing(demands const& reported, model::time_point now);
    demands
    with_kept(demands reported, double own_asked, model::time_point now) const;
    void record_recent(demands const& others, model::time_point now);

    std::size_t m_live = 0;
    std::optional<loss> m_loss;
    /// Demand of the others, with recent maxima: the count of hosts may fall
    /// some digests after the demand.
    demands m_recent;
    model::time_point m_updated_at{};
    std::unordered_map<std::string, std::vector<team_demand>> m_services;
};

} // namespace caperjunction::routing

#endif
