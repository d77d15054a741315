#include "routing/peer_table.hpp"

#include <algorithm>
#include <map>

namespace caperjunction::routing {
namespace {

using load_sums = std::unordered_map<std::uint32_t, peer_load>;

void add(load_sums& sum, std::vector<peer_load> const& loads)
{
    for (peer_load const& item : loads) {
        peer_load& total = sum[item.upstream];
        total.upstream = item.upstream;
        total.load.add(item.load);
        total.performance.merge(item.performance);
        total.readings.add(item.readings);
    }
}

std::vector<peer_load> listed(load_sums const& sum)
{
    std::vector<peer_load> list;
    list.reserve(sum.size());
    for (auto const& [upstream, total] : sum) {
        list.push_back(total);
    }
    return list;
}

using demand_sums = std::unordered_map<std::uint32_t, team_demand>;

void add(demand_sums& sum, std::vector<team_demand> const& demands)
{
    for (team_demand const& item : demands) {
        team_demand& total = sum[item.key];
        total.key = item.key;
        total.asked += item.asked;
        total.admitted += item.admitted;
    }
}

std::vector<team_demand> listed(demand_sums const& sum)
{
    std::vector<team_demand> list;
    list.reserve(sum.size());
    for (auto const& [key, total] : sum) {
        list.push_back(total);
    }
    return list;
}

} // namespace

// Two hosts of one data centre may both act as aggregator while one of them is
// starting. The one that receives digests from more hosts is used.
std::vector<peer_table::peer const*> peer_table::remote_aggregators() const
{
    std::map<std::uint64_t, peer const*> by_data_centre;
    for (auto const& [address, known] : m_peers) {
        if (!known.is_live || is_near(known) || !known.digest.is_aggregator) {
            continue;
        }
        peer const*& best = by_data_centre[known.digest.data_centre];
        if (best == nullptr
            || best->digest.hosts_in_data_centre
                   < known.digest.hosts_in_data_centre) {
            best = &known;
        }
    }
    std::vector<peer const*> list;
    list.reserve(by_data_centre.size());
    for (auto const& [data_centre, aggregator] : by_data_centre) {
        list.push_back(aggregator);
    }
    return list;
}

std::vector<peer_load>
peer_table::aggregate_with(std::vector<peer_load> const& own) const
{
    load_sums sum;
    add(sum, own);
    for (auto const& [address, known] : m_peers) {
        if (is_near(known)) {
            add(sum, known.digest.loads);
        }
    }
    return listed(sum);
}

std::vector<peer_load>
peer_table::loads_for_remote(std::vector<peer_load> const& own) const
{
    return is_aggregator() ? aggregate_with(own) : own;
}

std::vector<peer_load> peer_table::remote_loads() const
{
    load_sums sum;
    for (peer const* const aggregator : remote_aggregators()) {
        add(sum, aggregator->digest.aggregated_loads);
    }
    return listed(sum);
}

std::vector<team_demand> peer_table::near_demands() const
{
    demand_sums sum;
    for (auto const& [address, known] : m_peers) {
        if (is_near(known)) {
            add(sum, known.digest.demands);
        }
    }
    return listed(sum);
}

std::vector<team_demand> peer_table::remote_demands() const
{
    demand_sums sum;
    if (is_aggregator()) {
        for (peer const* const aggregator : remote_aggregators()) {
            add(sum, aggregator->digest.aggregated_demands);
        }
    } else if (peer const* const aggregator = near_aggregator()) {
        add(sum, aggregator->digest.remote_demands);
    }
    return listed(sum);
}

std::vector<team_demand> peer_table::other_demands() const
{
    demand_sums sum;
    add(sum, near_demands());
    add(sum, remote_demands());
    return listed(sum);
}

digest_set peer_table::make_digests(peer_digest own) const
{
    own.hosts_seen = static_cast<std::uint32_t>(m_largest_fleet_seen);
    own.hosts_in_data_centre = static_cast<std::uint32_t>(m_local_peers + 1);
    own.hosts_alive = static_cast<std::uint32_t>(m_fleet_size);
    own.data_centres = static_cast<std::uint32_t>(m_data_centre_count);
    own.is_gateway = is_gateway();
    own.is_aggregator = is_aggregator();
    digest_set result{own, own, own};
    result.aggregated_loads.loads.clear();
    result.presence.loads.clear();
    result.aggregated_loads.demands.clear();
    result.presence.demands.clear();
    if (!own.is_aggregator) {
        return result;
    }
    result.aggregated_loads.aggregated_loads = aggregate_with(own.loads);
    result.loads.remote_loads = remote_loads();
    demand_sums local;
    add(local, own.demands);
    add(local, near_demands());
    result.aggregated_loads.aggregated_demands = listed(local);
    result.loads.remote_demands = remote_demands();
    auto const append = [](auto& to, auto const& more) {
        to.insert(to.end(), more.begin(), more.end());
    };
    append(result.aggregated_loads.limits, local_limits());
    append(result.loads.limits, remote_limits());
    return result;
}

void peer_table::aggregate()
{
    m_loads.clear();
    m_limits.clear();
    m_leaving.clear();
    for (auto const& [address, known] : m_peers) {
        m_leaving.insert(known.digest.leaving.begin(),
                         known.digest.leaving.end());
        if (!is_near(known)) {
            continue;
        }
        add(m_loads, known.digest.loads);
        add_limits(m_limits, known);
    }
    if (is_aggregator()) {
        add(m_loads, remote_loads());
        for (peer const* const remote : remote_aggregators()) {
            add_limits(m_limits, *remote);
        }
    } else if (peer const* const aggregator = near_aggregator()) {
        add(m_loads, aggregator->digest.remote_loads);
    }
}

peer_table::peer const* peer_table::near_aggregator() const
{
    peer const* best = nullptr;
    model::endpoint const* best_at = nullptr;
    for (auto const& [address, known] : m_peers) {
        bool const is_better =
            best_at == nullptr || ranks_before(address, *best_at);
        if (known.digest.is_aggregator && is_near(known) && is_better) {
            best = &known;
            best_at = &address;
        }
    }
    return best;
}

std::size_t peer_table::hosts_with_loads() const
{
    bool const has_remote =
        !is_large() || is_aggregator() || near_aggregator() != nullptr;
    return has_remote ? m_fleet_size : m_local_peers + 1;
}

peer_load peer_table::load_of(std::uint32_t upstream) const
{
    auto const found = m_loads.find(upstream);
    return found == m_loads.end() ? peer_load{} : found->second;
}

} // namespace caperjunction::routing
