#ifndef CAPERJUNCTION_ROUTING_FETCH_SCHEDULER_HPP
#define CAPERJUNCTION_ROUTING_FETCH_SCHEDULER_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/peer_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace caperjunction::routing {

/// Decides when a host asks another one for what it lacks of one lane.
///
/// Made for fleets in which a few hosts watch the store, for a store that
/// refuses one host alone, and for starts while it is away.
///
/// Thread safety: none; owned by one task.
class fetch_scheduler
{
public:
    struct host_state
    {
        /// A configuration is in force.
        bool has_configuration = false;
        /// This host watches the store for others.
        bool is_store_watcher = false;
        /// It brings changes into its data centre.
        bool is_aggregator = false;
    };

    /// Whether to ask `newer` now, which may be nobody.
    bool is_due(peer_table::source const& newer,
                host_state const& host,
                model::time_point now);

    /// A list of `bytes` has come, which `nearby` hosts need too.
    ///
    /// Those that have it may have narrow links. Asked for again at once while
    /// thousands of entries come in a row, these would be full with lists, and
    /// callers would wait for their answers.
    void back_off(std::size_t bytes,
                  std::size_t nearby_hosts,
                  model::time_point now);

    /// For how long a change has been known to be there that this host, which
    /// has all up to `own`, lacks; `newest` is the newest of others.
    model::milliseconds
    lag(std::uint64_t own, std::uint64_t newest, model::time_point now);

private:
    static model::milliseconds fetch_delay(peer_table::source const& newer,
                                           host_state const& host);

    std::optional<model::time_point> m_source_seen_at;
    model::time_point m_backed_off_until{};
    std::uint64_t m_missing = 0;
    model::time_point m_missing_since{};
};

} // namespace caperjunction::routing

#endif
