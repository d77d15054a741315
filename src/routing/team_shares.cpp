#include "routing/team_shares.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Demands of hosts are measured at different times.
constexpr double noise_tolerance = 0.02;
/// A team competes with the others if it asks for more than this many times the
/// demand of the median team. With a lower factor, teams of equal demand exceed
/// it by chance, and their requests are refused.
constexpr double competing_factor = 2.5;

/// Losses within shares are relative to at least this part of all demand. The
/// demand of teams that have stopped decays, but the fraction of it that was
/// lost does not: without this bound, it would limit a single remaining team
/// for as long as they are known.
constexpr double min_share_within = 0.5;

/// Teams of the same demand.
struct equal_teams
{
    double asked = 0.0;
    double count = 1.0;
};

bool asks_less(equal_teams const& a, equal_teams const& b)
{
    return a.asked < b.asked;
}

/// Returns the level at which the sum of min(asked, level) is `capacity`, which
/// must be less than what is asked.
double max_min_level(std::vector<equal_teams> teams, double capacity)
{
    std::sort(teams.begin(), teams.end(), asks_less);
    double count = 0.0;
    for (equal_teams const& item : teams) {
        count += item.count;
    }
    for (equal_teams const& item : teams) {
        if (item.asked * count >= capacity) {
            break;
        }
        capacity -= item.asked * item.count;
        count -= item.count;
    }
    return count > 0.0 ? std::max(0.0, capacity) / count : 0.0;
}

} // namespace

// The number of the teams that are not listed is unknown. They count as teams
// of the median demand of those that are: as one team, they would all together
// get the share of one.
team_shares::team_shares(std::vector<team_demand> const& demands,
                         std::uint32_t others_key)
    : m_others_key(others_key)
{
    std::vector<equal_teams> teams;
    double others = 0.0;
    for (team_demand const& item : demands) {
        m_asked += item.asked;
        m_admitted += item.admitted;
        if (item.key == others_key) {
            others += item.asked;
        } else if (item.asked > 0.0) {
            m_asked_by[item.key] = item.asked;
            teams.push_back({item.asked, 1.0});
        }
    }
    bool const is_alone = teams.size() < 2 && others <= 0.0;
    if (teams.empty() || is_alone
        || m_asked <= m_admitted * (1.0 + noise_tolerance)) {
        return;
    }
    if (others > 0.0) {
        auto const median =
            teams.begin() + static_cast<std::ptrdiff_t>(teams.size() / 2);
        std::nth_element(teams.begin(), median, teams.end(), asks_less);
        double const typical = std::min(median->asked, others);
        teams.push_back({typical, others / typical});
    }
    // With two teams, the median is the smaller demand.
    auto const median =
        teams.begin() + static_cast<std::ptrdiff_t>((teams.size() - 1) / 2);
    std::nth_element(teams.begin(), median, teams.end(), asks_less);
    m_min_competing = median->asked * competing_factor;
    m_level = max_min_level(std::move(teams), m_admitted);
    update_lost_within(demands);
}

// If no team competes with the others, a limit on excess can't reduce the
// shortage, so nothing counts as lost.
void team_shares::update_lost_within(std::vector<team_demand> const& demands)
{
    double asked = 0.0;
    double admitted = 0.0;
    for (team_demand const& item : demands) {
        if (fraction_within(item.key) >= 1.0) {
            asked += item.asked;
            admitted += std::min(item.asked, item.admitted);
        }
    }
    bool const is_any_above = asked < m_asked;
    if (is_any_above) {
        double const least = m_asked * min_share_within;
        m_lost_within =
            asked > 0.0
                ? std::optional((asked - admitted) / std::max(asked, least))
                : std::nullopt;
    }
}

double team_shares::asked_by(std::uint32_t key) const
{
    auto const found = m_asked_by.find(key);
    return found == m_asked_by.end() ? 0.0 : found->second;
}

double team_shares::fraction_within(std::uint32_t key) const
{
    double const asked = asked_by(key);
    bool const is_competing = m_level && key != m_others_key && asked > *m_level
                              && asked > m_min_competing;
    if (!is_competing) {
        return 1.0;
    }
    return *m_level / asked;
}

bool team_shares::is_excess(std::uint32_t key, std::uint64_t request_hash) const
{
    double const position = std::ldexp(static_cast<double>(request_hash), -64);
    double const within = fraction_within(key);
    return within < 1.0 && position >= within;
}

std::vector<std::uint32_t> team_shares::above_level() const
{
    std::vector<std::uint32_t> keys;
    for (auto const& [key, asked] : m_asked_by) {
        if (fraction_within(key) < 1.0) {
            keys.push_back(key);
        }
    }
    return keys;
}

} // namespace caperjunction::routing
