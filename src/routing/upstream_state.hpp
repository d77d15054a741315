#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_STATE_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_STATE_HPP

#include "routing/capacity_meter.hpp"
#include "routing/cold_start.hpp"
#include "routing/engine_capacity.hpp"
#include "routing/engine_readings.hpp"
#include "routing/engine_speed.hpp"
#include "routing/location.hpp"
#include "routing/performance_meter.hpp"
#include "routing/rank_load_meter.hpp"
#include "routing/rejection_guard.hpp"
#include "routing/software.hpp"
#include "routing/upstream.hpp"
#include "routing/upstream_health.hpp"
#include "routing/upstream_limit.hpp"
#include "routing/upstream_link.hpp"
#include "routing/upstream_performance.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace caperjunction::routing {

/// Requests at one upstream.
struct upstream_load
{
    /// Requests that have not ended.
    std::uint32_t running = 0;
    /// Prompt tokens of requests without a first event.
    std::uint64_t pending_prefill_tokens = 0;
    /// Most urgent streams among the running requests.
    std::uint32_t urgent = 0;
    /// Tokens that the running requests hold in the KV cache, without the parts
    /// that they share with others.
    std::uint64_t memory_tokens = 0;

    void add(upstream_load const& more)
    {
        running += more.running;
        pending_prefill_tokens += more.pending_prefill_tokens;
        urgent += more.urgent;
        memory_tokens += more.memory_tokens;
    }
};

/// An upstream's description and this host's state about it. Owned by the
/// directory; requests in progress keep it alive.
struct upstream_state
{
    upstream description;
    /// Of its description.
    routing::software software;
    /// Of its data centre.
    location where;
    upstream_health health;
    upstream_link link;
    /// Requests of this host.
    upstream_load own;
    /// Prompts of this host by urgency, and whether the upstream was reserved
    /// for the most urgent streams when the last one was sent.
    rank_load_meter own_ranks;
    bool is_sent_to_as_reserved = false;
    /// Requests of other hosts, from their digests.
    upstream_load others;
    /// Performance measured by this host's requests.
    performance_meter own_performance;
    /// Performance measured by other hosts.
    upstream_performance others_performance;
    /// Measurements of its capacity by this host and by other hosts.
    capacity_meter own_capacity;
    engine_readings others_readings;
    /// From the measurements of all hosts; the default for a plain service. Set
    /// by `upstream_directory::update_capacities`.
    engine_capacity capacity;
    engine_speed speed_measured;
    speed_class speed = speed_class::typical;
    /// Request limit of an overloaded upstream.
    upstream_limit limit;
    /// Notice in its last answer to this host; default-constructed before the
    /// first.
    limit_notice own_limit;
    /// Limit while it is cold after its start.
    cold_start cold;
    /// Limit of the requests that it rejects.
    rejection_guard rejections;
    /// Until when it wants no request from this host, as it has said in
    /// rejections.
    model::time_point paused_until{};
    /// Tunnels of the host through which it has said so; no value: directly.
    std::optional<model::endpoint> paused_through;
    /// When a connection of this host to it last broke or failed, on the clock
    /// of the key lease; no value: never.
    std::optional<model::time_point> broken_at;
    /// When this host last received data from it.
    model::time_point received_at{};
    /// Position among the engines of its service in the order of reservation;
    /// set by `upstream_directory::reservation_order`.
    std::size_t reservation_rank = 0;
    /// It, or another host, has said that it is shutting down. That holds until
    /// it starts again: its entry may be older.
    bool is_leaving = false;
    /// No longer published, draining or leaving.
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

    /// Returns whether its limits allow one more request from this host.
    bool may_send(model::time_point now) const
    {
        return next_send(now) <= now;
    }

    /// Returns when its limits allow one more request from this host:
    /// `time_point::max()` if other hosts share them.
    model::time_point next_send(model::time_point now) const
    {
        auto const when_warm = limit.is_limited() ? limit.next_send(now) : now;
        auto const when_free = rejections.next_send(
            {description.slots, own.running, others.running}, now);
        return std::max(
            {when_warm, when_free, cold.next_send(now), paused_until});
    }

    /// Records that this host sends a request to it.
    void record_send(model::time_point now)
    {
        limit.record_send(now);
        cold.record_send(now);
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
