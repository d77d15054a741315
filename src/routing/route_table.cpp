#include "routing/route_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace caperjunction::routing {
namespace {

using rank_pair = std::pair<std::uint32_t, std::uint32_t>;

/// Without a team, or if the team has no rank, the route's rank replaces it.
rank_pair ranks_of(route const& matched, team const* holder)
{
    std::uint32_t const second =
        holder == nullptr ? matched.rank : holder->rank.value_or(matched.rank);
    return {matched.rank, second};
}

} // namespace

route_table::route_table(configuration config)
    : m_config(std::move(config))
{
    for (route const& item : m_config.routes) {
        m_by_authority[item.authority].push_back(&item);
        if (item.has_prompt_affinity) {
            m_first_prompt_rank = std::min(m_first_prompt_rank, item.rank);
            m_last_prompt_rank = std::max(m_last_prompt_rank, item.rank);
        }
    }
    for (route const& item : m_config.routes) {
        if (item.has_prompt_affinity && is_most_urgent(item)
            && item.max_event_gap.count() > 0) {
            for (weighted_service const& part : item.split) {
                auto& gap = m_urgent_event_gaps
                                .try_emplace(part.service, item.max_event_gap)
                                .first->second;
                gap = std::min(gap, item.max_event_gap);
            }
        }
    }
    for (auto& [authority, routes] : m_by_authority) {
        std::stable_sort(
            routes.begin(), routes.end(), [](route const* a, route const* b) {
                return a->prefix.size() > b->prefix.size();
            });
    }
    for (team const& item : m_config.teams) {
        for (std::string const& key : item.keys) {
            m_by_key.emplace(key, &item);
        }
    }
    for (service const& item : m_config.services) {
        m_by_service.emplace(item.name, &item);
    }
    for (route const& matched : m_config.routes) {
        m_ranks.push_back(ranks_of(matched, nullptr));
        for (team const& holder : m_config.teams) {
            m_ranks.push_back(ranks_of(matched, &holder));
        }
    }
    std::sort(m_ranks.begin(), m_ranks.end());
    m_ranks.erase(std::unique(m_ranks.begin(), m_ranks.end()), m_ranks.end());
}

std::uint32_t route_table::urgency(route const& matched,
                                   team const* holder) const
{
    auto const position = std::lower_bound(
        m_ranks.begin(), m_ranks.end(), ranks_of(matched, holder));
    auto const before =
        static_cast<std::size_t>(std::distance(m_ranks.begin(), position));
    if (m_ranks.size() <= least_urgent + 1) {
        return static_cast<std::uint32_t>(before);
    }
    // With more rank pairs than urgency levels, adjacent pairs share a level.
    return static_cast<std::uint32_t>(before * least_urgent
                                      / (m_ranks.size() - 1));
}

route const* route_table::match(std::string_view authority,
                                std::string_view path) const
{
    auto const routes = m_by_authority.find(std::string(authority));
    if (routes == m_by_authority.end()) {
        return nullptr;
    }
    for (route const* const item : routes->second) {
        if (path.substr(0, item->prefix.size()) == item->prefix) {
            return item;
        }
    }
    return nullptr;
}

team const* route_table::find_team(std::string_view key) const
{
    auto const found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : found->second;
}

service const* route_table::find_service(std::string_view name) const
{
    auto const found = m_by_service.find(name);
    return found == m_by_service.end() ? nullptr : found->second;
}

model::milliseconds
route_table::urgent_event_gap(std::string_view service) const
{
    auto const known = m_urgent_event_gaps.find(service);
    return known == m_urgent_event_gaps.end() ? model::milliseconds{0}
                                              : known->second;
}

std::string const& route_table::pick_service(route const& chosen,
                                             std::uint64_t random_value)
{
    assert(!chosen.split.empty());
    std::uint64_t total = 0;
    for (weighted_service const& part : chosen.split) {
        total += part.weight;
    }
    std::uint64_t position = total == 0 ? 0 : random_value % total;
    for (weighted_service const& part : chosen.split) {
        if (position < part.weight) {
            return part.service;
        }
        position -= part.weight;
    }
    return chosen.split.front().service;
}

} // namespace caperjunction::routing
