#ifndef CAPERJUNCTION_ROUTING_TEAM_KEY_INDEX_HPP
#define CAPERJUNCTION_ROUTING_TEAM_KEY_INDEX_HPP

#include "routing/configuration.hpp"
#include "routing/team_demand.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// Finds service and team of a key from `team_demand_key` or
/// `other_teams_key`. Empty if the configuration has fewer than two teams.
///
/// Thread safety: none; owned by one task.
class team_key_index
{
public:
    struct entry
    {
        std::string service;
        /// Empty: all teams that are not listed by themselves.
        std::string team;
    };

    team_key_index() = default;

    explicit team_key_index(configuration const& config);

    /// Returns null if the key is unknown.
    entry const* find(std::uint32_t key) const;

    bool has_service(std::string_view service) const
    {
        return find(other_teams_key(service)) != nullptr;
    }

private:
    std::unordered_map<std::uint32_t, entry> m_entries;
};

/// Returns the demands of known keys, one entry a key, with values in the range
/// of their fields on the wire. Of each service the `count` teams that ask most
/// are listed; all others are added to the entry of the other teams.
std::vector<team_demand> largest_demands(std::vector<team_demand> const& all,
                                         team_key_index const& index,
                                         std::size_t count);

} // namespace caperjunction::routing

#endif
