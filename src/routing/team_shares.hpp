#ifndef CAPERJUNCTION_ROUTING_TEAM_SHARES_HPP
#define CAPERJUNCTION_ROUTING_TEAM_SHARES_HPP

#include "routing/team_demand.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// Max-min fair shares of the teams at one service.
///
/// The capacity that is shared is what is admitted. If more is asked, the level
/// is the demand up to which teams are within their shares. A team above it
/// is beyond its share only if it asks for several times as much as the median
/// team.
///
/// Thread safety: immutable, any thread.
class team_shares
{
public:
    /// No team is above its share.
    team_shares() = default;

    /// `demands`: of the whole fleet, one entry a key, not negative.
    /// `others_key`: the entry of the teams that are not listed by themselves.
    team_shares(std::vector<team_demand> const& demands,
                std::uint32_t others_key);

    /// Returns the demand in tokens per second up to which teams are within
    /// their shares; no value if capacity suffices.
    std::optional<double> level() const
    {
        return m_level;
    }

    /// Sums over all teams, in tokens a second.
    double asked() const
    {
        return m_asked;
    }

    double admitted() const
    {
        return m_admitted;
    }

    /// Returns the demand of a team; 0 if it is not listed.
    double asked_by(std::uint32_t key) const;

    /// Returns the fraction of a team's requests that is within its share; 1 if
    /// it is not listed, and for the entry of the other teams.
    double fraction_within(std::uint32_t key) const;

    /// Returns whether a request is beyond its team's share.
    bool is_excess(std::uint32_t key, std::uint64_t request_hash) const;

    /// Returns the fraction of the demand of all teams within their shares that
    /// was not admitted in time; 0 if no team is above its share, no value if
    /// all are.
    std::optional<double> lost_within() const
    {
        return m_lost_within;
    }

    /// Returns the keys of the teams above their shares.
    std::vector<std::uint32_t> above_level() const;

private:
    void update_lost_within(std::vector<team_demand> const& demands);

    std::unordered_map<std::uint32_t, double> m_asked_by;
    std::uint32_t m_others_key = 0;
    double m_asked = 0.0;
    double m_admitted = 0.0;
    /// Tokens per second; a team that asks for no more is within its share.
    double m_min_competing = 0.0;
    std::optional<double> m_level;
    std::optional<double> m_lost_within = 0.0;
};

} // namespace caperjunction::routing

#endif
