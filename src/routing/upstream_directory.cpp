#include "routing/upstream_directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace caperjunction::routing {

upstream_directory::upstream_directory(location_of locate)
    : m_locate(std::move(locate))
{
}

void upstream_directory::store_regained(model::time_point now)
{
    m_settled_at = now + settle_time;
}

void upstream_directory::put(upstream const& described)
{
    upstream_ptr& held = m_by_id[described.id];
    if (m_missing.erase(described.id) > 0 && held) {
        // It may be an entry of a copy from before its removal: see `withhold`.
        record_departure(*held);
    }
    std::string const before =
        held ? held->description.service : described.service;
    bool const is_same =
        held && held->description.started == described.started
        && held->description.at == described.at
        && held->description.service == described.service
        && held->description.software_version == described.software_version;
    if (!is_same) {
        if (held) {
            held->is_retired = true;
        }
        held = std::make_shared<upstream_state>();
    }
    held->description = described;
    held->software = software_of(described);
    held->where = m_locate(described.data_centre);
    // An upstream that is shutting down doesn't return before it starts again.
    // An entry that says otherwise is older, such as one of a store that has
    // come back from a copy.
    bool const tells_starts = described.started != 0;
    held->is_leaving =
        held->is_leaving
        || (tells_starts && (described.draining || has_left(described)));
    held->is_retired = described.draining || held->is_leaving
                       || m_withheld.count(described.id) > 0;
    rebuild_list(described.service);
    if (before != described.service) {
        rebuild_list(before);
    }
}

void upstream_directory::put_unreadable(std::string const& id,
                                        model::time_point now)
{
    remove(id, now);
}

void upstream_directory::remove(std::string const& id, model::time_point now)
{
    if (m_by_id.count(id) == 0) {
        return;
    }
    if (now >= m_settled_at) {
        drop(id);
    } else {
        m_missing.emplace(id, m_settled_at);
    }
}

void upstream_directory::retain_only(std::vector<std::string> const& ids,
                                     model::time_point now)
{
    std::vector<std::string> missing;
    for (auto const& [id, state] : m_by_id) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            missing.push_back(id);
        }
    }
    for (std::string const& id : missing) {
        remove(id, now);
    }
}

bool upstream_directory::record_leaving(upstream_state& state)
{
    if (state.is_leaving) {
        return false;
    }
    state.is_leaving = true;
    state.is_retired = true;
    rebuild_list(state.description.service);
    return true;
}

bool upstream_directory::set_evacuated(std::string const& data_centre,
                                       bool is_evacuated)
{
    bool const is_change =
        is_evacuated ? m_evacuated_data_centres.insert(data_centre).second
                     : m_evacuated_data_centres.erase(data_centre) > 0;
    if (is_change) {
        for (auto& [service, list] : m_by_service) {
            rebuild_list(service);
        }
    }
    return is_change;
}

void upstream_directory::drop_missing(model::time_point now)
{
    for (auto item = m_missing.begin(); item != m_missing.end();) {
        if (item->second > now) {
            ++item;
            continue;
        }
        std::string const id = item->first;
        item = m_missing.erase(item);
        drop(id);
    }
    std::vector<std::string> released;
    for (auto const& [id, until] : m_withheld) {
        if (until <= now) {
            released.push_back(id);
        }
    }
    for (std::string const& id : released) {
        release(id);
    }
}

model::time_point upstream_directory::next_drop() const
{
    model::time_point next = model::time_point::max();
    for (auto const& [id, due] : m_missing) {
        next = std::min(next, due);
    }
    for (auto const& [id, until] : m_withheld) {
        next = std::min(next, until);
    }
    return next;
}

std::vector<upstream_ptr> const&
upstream_directory::of_service(std::string_view service) const
{
    static std::vector<upstream_ptr> const s_none;
    auto const found = m_by_service.find(service);
    return found == m_by_service.end() ? s_none : found->second;
}

bool upstream_directory::has_software(std::string_view service,
                                      software wanted) const
{
    auto const& all = of_service(service);
    return std::any_of(all.begin(), all.end(), [wanted](auto const& item) {
        return item->software == wanted;
    });
}

std::vector<software>
upstream_directory::software_of_service(std::string_view service) const
{
    std::vector<software> list;
    for (upstream_ptr const& item : of_service(service)) {
        if (std::find(list.begin(), list.end(), item->software) == list.end()) {
            list.push_back(item->software);
        }
    }
    return list;
}

std::vector<upstream_ptr> const&
upstream_directory::reservation_order(std::string_view service) const
{
    auto const known = m_reservation_orders.find(service);
    if (known != m_reservation_orders.end()) {
        return known->second;
    }

    struct entry
    {
        speed_class speed;
        std::size_t rank_in_data_centre;
        std::uint64_t hash;
        upstream_ptr at;
    };

    std::vector<entry> entries;
    for (upstream_ptr const& item : of_service(service)) {
        std::string const& id = item->description.id;
        entries.push_back(
            {item->speed, 0, XXH3_64bits(id.data(), id.size()), item});
    }
    auto const by_rank = [](entry const& a, entry const& b) {
        return std::tie(a.speed, a.rank_in_data_centre, a.hash)
               < std::tie(b.speed, b.rank_in_data_centre, b.hash);
    };
    std::sort(entries.begin(), entries.end(), by_rank);
    std::map<std::pair<speed_class, std::string_view>, std::size_t> counted;
    for (entry& item : entries) {
        item.rank_in_data_centre =
            counted[{item.speed, item.at->description.data_centre}]++;
    }
    std::sort(entries.begin(), entries.end(), by_rank);
    std::vector<upstream_ptr> order;
    order.reserve(entries.size());
    for (entry const& item : entries) {
        item.at->reservation_rank = order.size();
        order.push_back(item.at);
    }
    return m_reservation_orders[std::string(service)] = std::move(order);
}

std::uint32_t
upstream_directory::own_urgent_streams(std::string_view service) const
{
    std::uint32_t sum = 0;
    for (upstream_ptr const& item : of_service(service)) {
        sum += item->own.urgent;
    }
    return sum;
}

upstream_ptr upstream_directory::find(std::string const& id) const
{
    auto const found = m_by_id.find(id);
    return found == m_by_id.end() ? nullptr : found->second;
}

void upstream_directory::drop(std::string const& id)
{
    m_missing.erase(id);
    m_withheld.erase(id);
    auto const found = m_by_id.find(id);
    if (found == m_by_id.end()) {
        return;
    }
    record_departure(*found->second);
    found->second->is_retired = true;
    std::string const service = found->second->description.service;
    m_by_id.erase(found);
    rebuild_list(service);
}

void upstream_directory::rebuild_list(std::string const& service)
{
    std::vector<upstream_ptr>& list = m_by_service[service];
    list.clear();
    m_reservation_orders.erase(service);
    for (auto const& [id, state] : m_by_id) {
        bool const is_evacuated =
            m_evacuated_data_centres.count(state->description.data_centre) > 0;
        if (state->description.service == service && !state->is_retired
            && !is_evacuated) {
            list.push_back(state);
        }
    }
}

} // namespace caperjunction::routing
