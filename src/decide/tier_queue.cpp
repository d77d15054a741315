#include "decide/tier_queue.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

constexpr std::size_t max_updates = 4;

} // namespace

void tier_queue::push(entry& waiting, std::vector<double> const& remote_tokens)
{
    team_queue& team = m_teams[waiting.team];
    if (team.requests.empty()) {
        if (!m_active.empty()) {
            team.counter = std::max(team.counter, m_active.begin()->first);
        }
        team.remote_tokens = remote_tokens[waiting.team];
        m_active.emplace(team.counter, waiting.team);
    }
    team.requests.emplace(request_key{waiting.deadline, waiting.id}, &waiting);
    waiting.arrival_position = m_arrivals.insert(m_arrivals.end(), &waiting);
}

void tier_queue::remove(entry& waiting)
{
    team_queue& team = m_teams[waiting.team];
    team.requests.erase(request_key{waiting.deadline, waiting.id});
    if (team.requests.empty()) {
        m_active.erase({team.counter, waiting.team});
    }
    m_arrivals.erase(waiting.arrival_position);
}

entry* tier_queue::head(std::vector<double> const& remote_tokens)
{
    // Without this, a team that is served on all hosts gets as many shares as
    // there are hosts. Its remote tokens are added when it reaches the front,
    // for a few teams at a time; later calls handle the rest.
    for (std::size_t updates = 0; updates < max_updates; ++updates) {
        if (m_active.empty()) {
            return nullptr;
        }
        index const first_team = m_active.begin()->second;
        team_queue& team = m_teams[first_team];
        double const uncharged = remote_tokens[first_team] - team.remote_tokens;
        if (uncharged <= 0.0) {
            break;
        }
        team.remote_tokens = remote_tokens[first_team];
        charge(first_team, uncharged);
    }
    return m_teams[m_active.begin()->second].requests.begin()->second;
}

void tier_queue::charge(index team, double tokens)
{
    team_queue& queue = m_teams[team];
    bool const active = !queue.requests.empty();
    if (active) {
        m_active.erase({queue.counter, team});
    }
    queue.counter += tokens;
    if (active) {
        m_active.emplace(queue.counter, team);
    }
}

} // namespace caperjunction::decide
