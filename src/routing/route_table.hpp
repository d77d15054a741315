#ifndef CAPERJUNCTION_ROUTING_ROUTE_TABLE_HPP
#define CAPERJUNCTION_ROUTING_ROUTE_TABLE_HPP

#include "routing/configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caperjunction::routing {

/// A configuration with its indexes. Requests in progress keep the table they
/// started with, so that an old and a new table are used at the same time.
///
/// Thread safety: immutable, any thread.
class route_table
{
public:
    explicit route_table(configuration config);
    route_table(route_table const&) = delete;
    route_table& operator=(route_table const&) = delete;

    configuration const& config() const
    {
        return m_config;
    }

    /// Returns the route of `authority` with the longest prefix of `path`; null
    /// if there is none. Valid as long as the table.
    route const* match(std::string_view authority, std::string_view path) const;

    /// Returns the team that holds `key`; null if there is none.
    team const* find_team(std::string_view key) const;

    /// Returns null if the service is unknown.
    service const* find_service(std::string_view name) const;

    /// Returns the urgency of a request relative to all that this configuration
    /// allows: 0 is the most urgent, `least_urgent` the maximum. The route's
    /// rank comes first, and the team's rank breaks ties. Engines order
    /// requests by urgency only. With the team's rank first, a short question
    /// would wait behind, and be preempted for, long prompts of its own team or
    /// of a higher-ranked team.
    std::uint32_t urgency(route const& matched, team const* holder) const;

    static constexpr std::uint32_t least_urgent = 9;

    /// Returns whether no route with prompts comes before `matched`.
    bool is_most_urgent(route const& matched) const
    {
        return matched.rank <= m_first_prompt_rank;
    }

    /// Returns whether no route with prompts comes after `matched`.
    bool is_least_urgent(route const& matched) const
    {
        return matched.rank >= m_last_prompt_rank;
    }

    /// Returns the shortest `max_event_gap` of the most urgent routes with
    /// prompts that lead to `service`; zero if none has one.
    model::milliseconds urgent_event_gap(std::string_view service) const;

    /// Returns the service for a request of `chosen`. `random_value`
    /// distributes requests by weight and must not change for the same request.
    static std::string const& pick_service(route const& chosen,
                                           std::uint64_t random_value);

private:
    configuration m_config;
    /// Routes of an authority, longest prefix first.
    std::unordered_map<std::string, std::vector<route const*>> m_by_authority;
    std::unordered_map<std::string_view, team const*> m_by_key;
    std::unordered_map<std::string_view, service const*> m_by_service;
    /// All pairs of route and team ranks, most urgent first.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> m_ranks;
    /// Lowest and highest rank of the routes with prompts.
    std::uint32_t m_first_prompt_rank =
        std::numeric_limits<std::uint32_t>::max();
    std::uint32_t m_last_prompt_rank = 0;
    std::unordered_map<std::string_view, model::milliseconds>
        m_urgent_event_gaps;
};

} // namespace caperjunction::routing

#endif
