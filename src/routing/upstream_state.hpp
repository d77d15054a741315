#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_STATE_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_STATE_HPP

#include "routing/distance.hpp"
#include "routing/pace_meter.hpp"
#include "routing/upstream.hpp"
#include "routing/upstream_health.hpp"
#include "routing/upstream_limit.hpp"
#include "routing/upstream_pace.hpp"

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
    std::uint64_t unread_tokens = 0;
    /// Those of the running requests that are most urgent streams.
    std::uint32_t urgent = 0;

    void add(upstream_load const& more)
    {
        running += more.running;
        unread_tokens += more.unread_tokens;
        urgent += more.urgent;
    }
};

/// An upstream with what this host knows beyond its own description.
/// Owned by the directory; requests on their way keep it alive.
struct upstream_state
{
    upstream about;
    distance away = distance::same_data_centre;
    upstream_health health;
    /// What this host has sent.
    upstream_load own;
    /// What the other hosts say that they have sent.
    upstream_load others;
    /// How fast it works, as this host's requests tell.
    pace_meter own_pace;
    /// The same from the others.
    upstream_pace others_pace;
    /// Requests that it takes from all hosts, if it is in need.
    upstream_limit limit;
    /// What its last answer to this host said of that; never said at first.
    limit_notice own_limit;
    /// When anything last came from it to this host.
    model::time_point heard_at{};
    /// Its place among those of its service that urgent streams get; set by
    /// `upstream_directory::lane_order`.
    std::size_t lane_place = 0;
    /// No longer published, or leaving.
    bool gone = false;

    std::uint32_t running() const
    {
        return own.running + others.running;
    }

    std::uint64_t unread_tokens() const
    {
        return own.unread_tokens + others.unread_tokens;
    }

    std::uint32_t urgent() const
    {
        return own.urgent + others.urgent;
    }

    upstream_pace pace(model::time_point now) const
    {
        upstream_pace all = own_pace.pace(now);
        all.merge(others_pace);
        return all;
    }
};

using upstream_ptr = std::shared_ptr<upstream_state>;

} // namespace caperjunction::routing

#endif
