#ifndef CAPERJUNCTION_DECIDE_TIER_QUEUE_HPP
#define CAPERJUNCTION_DECIDE_TIER_QUEUE_HPP

#include "decide/entry.hpp"
#include "decide/indices.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace caperjunction::decide {

/// The waiting requests of one tier for one model: teams share it by tokens,
/// and within a team the earliest latency target goes first.
///
/// Made for one large team's burst: first come, first served would make the
/// smallest society wait behind all of it. Each team has a counter of tokens
/// served and the lowest goes next; a team that was idle starts at the lowest
/// counter in use, so that saved-up credit can't shut out the others.
///
/// Thread safety: none; owned by one task.
class tier_queue
{
public:
    /// \pre `waiting` is not queued; it outlives its place here.
    void push(entry& waiting, std::vector<double> const& remote_tokens);

    /// \pre `waiting` is queued here.
    void remove(entry& waiting);

    /// The request that goes next; null if there is none. `elsewhere` holds
    /// the tokens that each team has got on other hosts, ever growing.
    entry* head(std::vector<double> const& remote_tokens);

    /// The one that came last; null if there is none.
    entry* newest() const
    {
        return m_arrivals.empty() ? nullptr : m_arrivals.back();
    }

    /// Adds tokens served here or on another host to a team's counter, or
    /// takes back what was charged too much.
    void charge(index team, double tokens);

    std::size_t size() const
    {
        return m_arrivals.size();
    }

    bool empty() const
    {
        return m_arrivals.empty();
    }

    std::list<entry*> const& arrivals() const
    {
        return m_arrivals;
    }

private:
    using request_key = std::pair<model::time_point, model::request_id>;

    struct team_queue
    {
        double counter = 0.0;
        /// Tokens elsewhere that the counter has in it.
        double remote_tokens = 0.0;
        std::map<request_key, entry*> requests;
    };

    std::unordered_map<index, team_queue> m_teams;
    std::set<std::pair<double, index>> m_active;
    std::list<entry*> m_arrivals;
};

} // namespace caperjunction::decide

#endif
