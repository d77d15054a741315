#include "routing/team_key_index.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace caperjunction::routing {
namespace {

/// Not a number counts as nothing.
double clamped(double rate)
{
    constexpr double max_rate = std::numeric_limits<std::uint32_t>::max();
    return rate > 0.0 ? std::min(rate, max_rate) : 0.0;
}

void add(team_demand& sum, team_demand const& more)
{
    sum.asked = clamped(sum.asked + clamped(more.asked));
    sum.admitted = clamped(sum.admitted + clamped(more.admitted));
}

bool asks_more(team_demand const& a, team_demand const& b)
{
    return a.asked != b.asked ? a.asked > b.asked : a.key < b.key;
}

} // namespace

team_key_index::team_key_index(configuration const& config)
{
    constexpr std::size_t min_teams = 2;
    if (config.teams.size() < min_teams) {
        return;
    }
    for (route const& from : config.routes) {
        for (weighted_service const& to : from.split) {
            std::string const& service = to.service;
            if (has_service(service)) {
                continue;
            }
            m_entries[other_teams_key(service)] = {service, ""};
            for (team const& item : config.teams) {
                m_entries.try_emplace(team_demand_key(service, item.name),
                                      entry{service, item.name});
            }
        }
    }
}

team_key_index::entry const* team_key_index::find(std::uint32_t key) const
{
    auto const found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::vector<team_demand> largest_demands(std::vector<team_demand> const& all,
                                         team_key_index const& index,
                                         std::size_t count)
{
    std::map<std::string_view, std::map<std::uint32_t, team_demand>> services;
    for (team_demand const& item : all) {
        if (auto const* const known = index.find(item.key)) {
            team_demand& sum = services[known->service][item.key];
            sum.key = item.key;
            add(sum, item);
        }
    }
    std::vector<team_demand> result;
    for (auto const& [service, teams] : services) {
        team_demand others;
        others.key = other_teams_key(service);
        std::vector<team_demand> listed;
        for (auto const& [key, item] : teams) {
            if (key == others.key) {
                add(others, item);
            } else {
                listed.push_back(item);
            }
        }
        std::sort(listed.begin(), listed.end(), asks_more);
        for (std::size_t place = count; place < listed.size(); ++place) {
            add(others, listed[place]);
        }
        listed.resize(std::min(count, listed.size()));
        result.insert(result.end(), listed.begin(), listed.end());
        if (others.asked > 0.0 || others.admitted > 0.0) {
            result.push_back(others);
        }
    }
    return result;
}

} // namespace caperjunction::routing
