#ifndef CAPERJUNCTION_ROUTING_ROUTE_TABLE_HPP
#define CAPERJUNCTION_ROUTING_ROUTE_TABLE_HPP

#include "routing/configuration.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caperjunction::routing {

/// A configuration with its look-ups. Requests on their way hold the table
/// that they began with, so that an old and a new one serve side by side.
///
/// Thread safety: immutable, any thread.
class route_table
{
public:
    explicit route_table(configuration read);
    route_table(route_table const&) = delete;
    route_table& operator=(route_table const&) = delete;

    configuration const& config() const
    {
        return m_config;
    }

    /// The route of that authority with the longest prefix that begins
    /// `path`; null if there is none. Valid as long as the table.
    route const* match(std::string_view authority, std::string_view path) const;

    /// Who holds `key`; null if nobody does.
    team const* find_team(std::string_view key) const;

    /// Null if no such service is known.
    service const* find_service(std::string_view name) const;

    /// How urgent a request is among all that this configuration allows, 0
    /// first, at most `least_urgent`: the route's rank decides, and among
    /// equal ones the team's. Engines order by it, and by it alone: with the
    /// team's rank first, a short question waits behind and is preempted for
    /// the long prompts of its own team or of a team that ranks higher.
    std::uint32_t urgency(route const& asked, team const* by) const;

    static constexpr std::uint32_t least_urgent = 9;

    /// The service that takes a request of `chosen`; `draw` spreads requests
    /// by weight and must be the same for the same request.
    static std::string const& pick_service(route const& chosen,
                                           std::uint64_t random_value);

private:
    configuration m_config;
    /// Routes of an authority, the longest prefix first.
    std::unordered_map<std::string, std::vector<route const*>> m_by_authority;
    std::unordered_map<std::string_view, team const*> m_by_key;
    std::unordered_map<std::string_view, service const*> m_by_service;
    /// All pairs of ranks that there are, the most urgent first.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_ranks;
};

} // namespace caperjunction::routing

#endif
