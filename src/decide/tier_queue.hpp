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

/// Waiting requests of one tier for one model. Teams share the tier by tokens;
/// within a team the earliest latency target goes first.
///
/// In arrival order, the smallest team would wait behind the complete burst of
/// a large one. Each team therefore has a counter of served tokens, and the
/// team with the lowest counter goes next. A team that was idle starts at the
/// lowest counter in use, so that accumulated credit cannot starve the others.
///
/// Thread safety: none; owned by one task.
class tier_queue
{
public:
    /// \pre `waiting` is not queued; it outlives its entry in the queue.
    void push(entry& waiting, std::vector<double> const& remote_tokens);

    /// \pre `waiting` is queued here.
    void remove(entry& waiting);

    /// The next request; null if the queue is empty. `remote_tokens` holds the
    /// tokens served to each team on other hosts; the values only increase.
    entry* head(std::vector<double> const& remote_tokens);

    /// The request that arrived last; null if the queue is empty.
    entry* newest() const
    {
        return m_arrivals.empty() ? nullptr : m_arrivals.back();
    }

    /// Adds tokens served on any host to a team's counter; a negative number
    /// corrects an excess charge.
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
        /// Remote tokens that the counter already includes.
        double remote_tokens = 0.0;
        std::map<request_key, entry*> requests;
    };

    std::unordered_map<index, team_queue> m_teams;
    std::set<std::pair<double, index>> m_active;
    std::list<entry*> m_arrivals;
};

} // namespace caperjunction::decide

#endif
