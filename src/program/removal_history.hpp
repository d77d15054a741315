#ifndef CAPERJUNCTION_PROGRAM_REMOVAL_HISTORY_HPP
#define CAPERJUNCTION_PROGRAM_REMOVAL_HISTORY_HPP

#include "routing/store_position.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace caperjunction::program {

/// Removed keys, and the spans of the store's history of which this host knows
/// all removals.
///
/// A host that has read the store completely doesn't know what was removed
/// before. If it answered for that span as well, its peers would keep what was
/// removed then, and nothing would ever tell them.
///
/// Thread safety: none; owned by one task.
class removal_history
{
public:
    /// Records that `key` was removed at `at`, or is known to be gone by then.
    void record(std::string const& key, routing::store_position at);

    /// Records that changes after `from` and before `to` were not received. Has
    /// no effect if `to` is not after `from`.
    void skip(routing::store_position from, routing::store_position to);

    /// Returns whether the removals after `since` are all known.
    bool covers(routing::store_position since) const;

    /// Returns the position from which on the removals are all known.
    routing::store_position known_since() const;

    /// Returns the keys that were removed after `since`, in that order.
    /// \pre covers(since)
    std::vector<std::pair<routing::store_position, std::string>>
    after(routing::store_position since) const;

    /// Returns when `key` was last removed, if that is known; otherwise a
    /// position that is not set.
    routing::store_position last_of(std::string const& key) const;

private:
    struct gap
    {
        routing::store_position from;
        routing::store_position to;
    };

    void forget_first();

    std::set<std::pair<routing::store_position, std::string>> m_removed;
    std::map<std::string, routing::store_position> m_last;
    std::deque<gap> m_gaps;
    /// Before this, removals may be missing.
    routing::store_position m_known_since;
};

} // namespace caperjunction::program

#endif
