#include "routing/demand_meter.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace caperjunction::routing {
namespace {

constexpr double half_life_seconds = 1.0;
constexpr double ln2 = 0.693147180559945;
/// Requests of a constant rate add up to the rate divided by this.
constexpr double rate_per_token = ln2 / half_life_seconds;
/// Below this rate a team asks nothing, in tokens a second.
constexpr double min_rate = 0.5;

bool asks_more(team_demand const& a, team_demand const& b)
{
    return a.asked != b.asked ? a.asked > b.asked : a.key < b.key;
}

} // namespace

void demand_meter::sums::decay(model::time_point now)
{
    double const elapsed = model::seconds(now - at).count();
    if (elapsed <= 0.0) {
        return;
    }
    double const factor = std::exp2(-elapsed / half_life_seconds);
    asked *= factor;
    admitted *= factor;
    at = now;
}

demand_meter::sums& demand_meter::sums_of(std::string_view service,
                                          std::string_view team,
                                          model::time_point now)
{
    auto found = m_services.find(service);
    if (found == m_services.end()) {
        found =
            m_services.emplace(std::string(service), service_demand{}).first;
        found->second.others_key = other_teams_key(service);
    }
    service_demand& demand = found->second;
    std::uint32_t key = team_demand_key(service, team);
    if (m_size >= max_teams && demand.teams.count(key) == 0) {
        key = demand.others_key;
    }
    auto const [entry, is_new] = demand.teams.try_emplace(key);
    if (is_new) {
        entry->second.at = now;
        ++m_size;
    }
    entry->second.decay(now);
    return entry->second;
}

void demand_meter::record_asked(std::string_view service,
                                std::string_view team,
                                std::uint32_t tokens,
                                model::time_point now)
{
    sums_of(service, team, now).asked += tokens;
}

void demand_meter::record_admitted(std::string_view service,
                                   std::string_view team,
                                   std::uint32_t tokens,
                                   model::time_point now)
{
    sums_of(service, team, now).admitted += tokens;
}

void demand_meter::record_late(std::string_view service,
                               std::string_view team,
                               std::uint32_t tokens,
                               model::time_point now)
{
    double& admitted = sums_of(service, team, now).admitted;
    admitted = std::max(0.0, admitted - tokens);
}

void demand_meter::forget_idle(service_demand& demand, model::time_point now)
{
    for (auto item = demand.teams.begin(); item != demand.teams.end();) {
        item->second.decay(now);
        bool const is_idle =
            std::max(item->second.asked, item->second.admitted) * rate_per_token
            < min_rate;
        m_size -= is_idle ? 1 : 0;
        item = is_idle ? demand.teams.erase(item) : std::next(item);
    }
}

std::vector<team_demand> demand_meter::largest(model::time_point now,
                                               std::size_t count)
{
    std::vector<team_demand> result;
    for (auto next = m_services.begin(); next != m_services.end();) {
        service_demand& demand = next->second;
        forget_idle(demand, now);
        team_demand others;
        others.key = demand.others_key;
        std::vector<team_demand> listed;
        for (auto const& [key, sum] : demand.teams) {
            team_demand const item{
                key, sum.asked * rate_per_token, sum.admitted * rate_per_token};
            if (key == others.key) {
                others = item;
            } else {
                listed.push_back(item);
            }
        }
        std::sort(listed.begin(), listed.end(), asks_more);
        for (std::size_t place = count; place < listed.size(); ++place) {
            others.asked += listed[place].asked;
            others.admitted += listed[place].admitted;
        }
        listed.resize(std::min(count, listed.size()));
        result.insert(result.end(), listed.begin(), listed.end());
        if (others.asked > 0.0 || others.admitted > 0.0) {
            result.push_back(others);
        }
        next = demand.teams.empty() ? m_services.erase(next) : std::next(next);
    }
    return result;
}

} // namespace caperjunction::routing
