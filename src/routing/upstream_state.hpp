#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_STATE_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_STATE_HPP

#include "routing/distance.hpp"
#include "routing/performance_meter.hpp"
#include "routing/upstream.hpp"
#include "routing/upstream_health.hpp"
#include "routing/upstream_limit.hpp"
#include "routing/upstream_performance.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace caperjunction::routing {

/// Work at one upstream that a host knows of.
struct upstream_load
{
    /// Requests that have not ended.
    std::uint32_t running = 0;
    /// Prompt tokens of requests whose first event has not come.
    std::uint64_t pending_prefill_tokens = 0;
    /// Those of the running requests that are most urgent streams.
    std::uint32_t urgent = 0;

    void add(upstream_load const& more)
    {
        running += more.running;
        pending_prefill_tokens += more.pending_prefill_tokens;
        urgent += more.urgent;
    }
};

/// An upstream with what this host knows beyond its own description.
/// Owned by the directory; requests on their way keep it alive.
struct upstream_state
{
    upstream description;
    distance network_distance = distance::same_data_centre;
    upstream_health health;
    /// What this host has sent.
    upstream_load own;
    /// What the other hosts say that they have sent.
    upstream_load others;
    /// How fast it works, as this host's requests tell.
    performance_meter own_performance;
    /// The same from the others.
    upstream_performance others_performance;
    /// Requests that it takes from all hosts, if it is in need.
    upstream_limit limit;
    /// What its last answer to this host said of that; never said at first.
    limit_notice own_limit;
    /// When anything last came from it to this host.
    model::time_point received_at{};
    /// Its place among those of its service that urgent streams get; set by
    /// `upstream_directory::lane_order`.
    std::size_t reservation_rank = 0;
    /// No longer published, or leaving.
    bool is_retired = false;

    std::uint32_t running() const
    {
        return own.running + others.running;
    }

    std::uint64_t pending_prefill_tokens() const
    {
        return own.pending_prefill_tokens + others.pending_prefill_tokens;
    }

    std::uint32_t urgent() const
    {
        return own.urgent + others.urgent;
    }

    upstream_performance performance(model::time_point now) const
    {
        upstream_performance all = own_performance.performance(now);
        all.merge(others_performance);
        return all;
    }
};

using upstream_ptr = std::shared_ptr<upstream_state>;

} // namespace caperjunction::routing

#endif
