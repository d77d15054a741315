#include "routing/team_demand_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caperjunction::routing {
namespace {

constexpr double kept_half_life_seconds = 5.0;
/// What is left of the kept demand when it is removed.
constexpr double min_kept = 0.01;
/// Digests of hosts that are lost together expire within this time.
constexpr model::milliseconds loss_window{1'000};
constexpr double recent_half_life_seconds = 0.3;
/// Bounds of the change of this host's own demand: that of few requests
/// varies by chance.
constexpr double min_scale = 0.25;
constexpr double max_scale = 4.0;

double halvings(model::time_point from, model::time_point to, double half_life)
{
    double const elapsed = model::seconds(to - from).count();
    return std::exp2(-std::max(0.0, elapsed) / half_life);
}

team_demand scaled(team_demand const& from, double factor)
{
    return {from.key, from.asked * factor, from.admitted * factor};
}

/// Returns `whole` without `part`; not negative.
team_demand difference(team_demand const& whole, team_demand const& part)
{
    return {whole.key,
            std::max(0.0, whole.asked - part.asked),
            std::max(0.0, whole.admitted - part.admitted)};
}

team_demand larger(team_demand const& a, team_demand const& b)
{
    return {
        a.key, std::max(a.asked, b.asked), std::max(a.admitted, b.admitted)};
}

team_demand smaller(team_demand const& a, team_demand const& b)
{
    return {
        a.key, std::min(a.asked, b.asked), std::min(a.admitted, b.admitted)};
}

team_demand at_key(std::unordered_map<std::uint32_t, team_demand> const& from,
                   std::uint32_t key)
{
    auto const found = from.find(key);
    return found == from.end() ? team_demand{key, 0.0, 0.0} : found->second;
}

std::unordered_map<std::uint32_t, team_demand>
by_key(std::vector<team_demand> const& list)
{
    std::unordered_map<std::uint32_t, team_demand> result;
    for (team_demand const& item : list) {
        result[item.key] = item;
    }
    return result;
}

} // namespace

void team_demand_table::update(std::vector<team_demand> const& own,
                               std::vector<team_demand> const& reported,
                               std::size_t live_hosts,
                               team_key_index const& index,
                               model::time_point now)
{
    auto const known = by_key(largest_demands(reported, index, max_others));
    double own_asked = 0.0;
    for (team_demand const& item : own) {
        own_asked += item.asked;
    }
    record_hosts(live_hosts, own_asked, now);
    update_missing(known, now);
    auto const others = with_kept(known, own_asked, now);
    record_recent(others, now);

    auto sums = own;
    for (auto const& [key, item] : others) {
        sums.push_back(item);
    }
    m_services.clear();
    auto const all = largest_demands(sums, index, sums.size());
    for (team_demand const& item : all) {
        m_services[index.find(item.key)->service].push_back(item);
    }
}

void team_demand_table::record_hosts(std::size_t live,
                                     double own_asked,
                                     model::time_point now)
{
    std::size_t const previous = std::exchange(m_live, live);
    if (live < previous) {
        if (!m_loss || now - m_loss->at > loss_window) {
            std::size_t const hosts =
                m_loss ? std::max(m_loss->hosts, previous) : previous;
            m_loss = loss{now, hosts, own_asked, m_recent, {}};
        } else {
            m_loss->at = now;
        }
        return;
    }
    if (!m_loss) {
        return;
    }
    if (live >= m_loss->hosts
        || halvings(m_loss->at, now, kept_half_life_seconds) < min_kept) {
        m_loss.reset();
        return;
    }
    double const silent_before = static_cast<double>(m_loss->hosts - previous);
    double const silent = static_cast<double>(m_loss->hosts - live);
    for (auto& [key, item] : m_loss->missing) {
        item = scaled(item, silent / silent_before);
    }
}

void team_demand_table::update_missing(demands const& reported,
                                       model::time_point now)
{
    if (!m_loss || now - m_loss->at > loss_window) {
        return;
    }
    for (auto const& [key, item] : m_loss->before) {
        m_loss->missing[key] = larger(at_key(m_loss->missing, key),
                                      difference(item, at_key(reported, key)));
    }
}

// The demand of a host that has died is reported by those to which its callers
// have moved. Nothing is kept beyond the demand before the loss.
team_demand_table::demands team_demand_table::with_kept(
    demands reported, double own_asked, model::time_point now) const
{
    if (!m_loss) {
        return reported;
    }
    double const scale =
        m_loss->own_asked > 0.0
            ? std::clamp(own_asked / m_loss->own_asked, min_scale, max_scale)
            : 1.0;
    double const decay = halvings(m_loss->at, now, kept_half_life_seconds);
    for (auto const& [key, missing] : m_loss->missing) {
        team_demand& sum = reported[key];
        sum.key = key;
        team_demand const not_reported =
            difference(scaled(at_key(m_loss->before, key), scale), sum);
        team_demand const kept =
            scaled(smaller(scaled(missing, scale), not_reported), decay);
        sum.asked += kept.asked;
        sum.admitted += kept.admitted;
    }
    return reported;
}

void team_demand_table::record_recent(demands const& others,
                                      model::time_point now)
{
    double const decay = halvings(m_updated_at, now, recent_half_life_seconds);
    m_updated_at = now;
    demands recent = others;
    for (auto const& [key, item] : m_recent) {
        team_demand const faded = scaled(item, decay);
        if (faded.asked >= 1.0) {
            recent[key] = larger(faded, at_key(others, key));
        }
    }
    m_recent = std::move(recent);
}

std::vector<team_demand> const&
team_demand_table::of_service(std::string const& name) const
{
    static std::vector<team_demand> const s_none;
    auto const found = m_services.find(name);
    return found == m_services.end() ? s_none : found->second;
}

} // namespace caperjunction::routing
