#ifndef CAPERJUNCTION_ROUTING_FETCH_SCHEDULER_HPP
#define CAPERJUNCTION_ROUTING_FETCH_SCHEDULER_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/peer_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace caperjunction::routing {

/// Decides when a host fetches missing entries of one list kind from a peer.
///
/// Fetches are needed in fleets where only a few hosts watch the store, if the
/// store refuses a single host, and for hosts that start while the store is
/// unavailable.
///
/// Thread safety: none; owned by one task.
class fetch_scheduler
{
public:
    struct host_state
    {
        /// A configuration is in force.
        bool has_configuration = false;
        /// The host watches the store for others.
        bool is_store_watcher = false;
        /// The host fetches changes into its data centre.
        bool is_aggregator = false;
    };

    /// Returns whether to fetch from `newer` now. `newer` may be empty.
    bool is_due(peer_table::source const& newer,
                host_state const& host,
                model::time_point now);

    /// Delays the next fetch after a list of `bytes` that `nearby_hosts` need
    /// too.
    ///
    /// The sources may have narrow links. If hosts fetch again at once while
    /// thousands of entries arrive in a row, the links are full of lists and
    /// answers to callers are delayed.
    void back_off(std::size_t bytes,
                  std::size_t nearby_hosts,
                  model::time_point now);

    /// Returns for how long this host, which has all changes up to `own`, has
    /// lacked a change that others have; `newest` is their newest revision.
    model::milliseconds
    lag(store_position own, store_position newest, model::time_point now);

private:
    static model::milliseconds fetch_delay(peer_table::source const& newer,
                                           host_state const& host);

    std::optional<model::time_point> m_source_seen_at;
    model::time_point m_backed_off_until{};
    store_position m_missing;
    model::time_point m_missing_since{};
};

} // namespace caperjunction::routing

#endif
