#include "routing/route_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace caperjunction::routing {

route_table::route_table(configuration read)
    : m_lists(std::move(read))
{
    for (route const& item : m_lists.routes) {
        m_by_authority[item.authority].push_back(&item);
    }
    for (auto& [authority, routes] : m_by_authority) {
        std::stable_sort(
            routes.begin(), routes.end(), [](route const* a, route const* b) {
                return a->prefix.size() > b->prefix.size();
            });
    }
    for (team const& item : m_lists.teams) {
        for (std::string const& key : item.keys) {
            m_by_key.emplace(key, &item);
        }
    }
    for (service const& item : m_lists.services) {
        m_by_service.emplace(item.name, &item);
    }
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

team const* route_table::holder(std::string_view key) const
{
    auto const found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : found->second;
}

service const* route_table::find_service(std::string_view name) const
{
    auto const found = m_by_service.find(name);
    return found == m_by_service.end() ? nullptr : found->second;
}

std::string const& route_table::pick_service(route const& chosen,
                                             std::uint64_t draw)
{
    assert(!chosen.split.empty());
    std::uint64_t total = 0;
    for (weighted_service const& part : chosen.split) {
        total += part.weight;
    }
    std::uint64_t place = total == 0 ? 0 : draw % total;
    for (weighted_service const& part : chosen.split) {
        if (place < part.weight) {
            return part.service;
        }
        place -= part.weight;
    }
    return chosen.split.front().service;
}

} // namespace caperjunction::routing
