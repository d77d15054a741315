#include "decide/tier_queue.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

constexpr std::size_t most_updates = 4;

} // namespace

void tier_queue::push(entry& waiting, std::vector<double> const& elsewhere)
{
    team_queue& team = m_teams[waiting.team];
    if (team.requests.empty()) {
        if (!m_active.empty()) {
            team.counter = std::max(team.counter, m_active.begin()->first);
        }
        team.elsewhere = elsewhere[waiting.team];
        m_active.emplace(team.counter, waiting.team);
    }
    team.requests.emplace(order{waiting.deadline, waiting.id}, &waiting);
    waiting.arrival_place = m_arrivals.insert(m_arrivals.end(), &waiting);
}

void tier_queue::remove(entry& waiting)
{
    team_queue& team = m_teams[waiting.team];
    team.requests.erase(order{waiting.deadline, waiting.id});
    if (team.requests.empty()) {
        m_active.erase({team.counter, waiting.team});
    }
    m_arrivals.erase(waiting.arrival_place);
}

entry* tier_queue::head(std::vector<double> const& elsewhere)
{
    // A team that is served on all hosts at once would otherwise get as many
    // shares as there are hosts. What it got elsewhere is added when it comes
    // first, a few teams at a time: the rest is found by the next look.
    for (std::size_t looked = 0; looked < most_updates; ++looked) {
        if (m_active.empty()) {
            return nullptr;
        }
        index const first = m_active.begin()->second;
        team_queue& team = m_teams[first];
        double const owed = elsewhere[first] - team.elsewhere;
        if (owed <= 0.0) {
            break;
        }
        team.elsewhere = elsewhere[first];
        charge(first, owed);
    }
    return m_teams[m_active.begin()->second].requests.begin()->second;
}

void tier_queue::charge(index team, double tokens)
{
    team_queue& charged = m_teams[team];
    bool const active = !charged.requests.empty();
    if (active) {
        m_active.erase({charged.counter, team});
    }
    charged.counter += tokens;
    if (active) {
        m_active.emplace(charged.counter, team);
    }
}

} // namespace caperjunction::decide
