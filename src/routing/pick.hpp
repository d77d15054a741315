#ifndef CAPERJUNCTION_ROUTING_PICK_HPP
#define CAPERJUNCTION_ROUTING_PICK_HPP

#include "model/time.hpp"
#include "routing/home_regions.hpp"
#include "routing/prompt.hpp"
#include "routing/rank_loads.hpp"
#include "routing/route.hpp"
#include "routing/upstream_state.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::routing {

/// Properties of a request that placement depends on.
struct pick_request
{
    /// Never null.
    routing::route const* route = nullptr;
    routing::prompt const* prompt = nullptr;
    std::string_view service;
    std::size_t body_bytes = 0;
    /// Upstreams that received the request or could not be reached for it.
    std::vector<std::string> const* attempted = nullptr;
    /// The only software that may go on with a stream that has begun; no value:
    /// any.
    std::optional<routing::software> software;
    /// Returns whether the software of an upstream is what its entry says;
    /// called if `software` is set. Null: it always is.
    std::function<bool(upstream_state const&)> is_software_certain;
    /// Software that the request is kept from; null: none.
    std::vector<routing::software> const* kept_from = nullptr;
    /// The only upstream that may get the request; null: any.
    upstream_state const* only = nullptr;
    /// Regions that may serve the request; null: all.
    home_regions const* homes = nullptr;
    /// Returns whether each host that could connect this one to an upstream was
    /// asked by it to send nothing now; called for upstreams whose link is
    /// lost. Null: no links are lost.
    std::function<bool(upstream_state const&)> is_paused_on_way;
    /// Returns whether this host has an idle connection to an upstream that
    /// the request may use. Null: connections are no term of the choice.
    std::function<bool(upstream_state const&)> has_idle_connection;
    /// Selects the engines that this host draws from; no value: all.
    std::optional<std::uint64_t> subset_key;
    /// Differs between requests; selects the engines that are considered.
    std::uint64_t request_hash = 0;
    /// No route with prompts has a lower rank.
    bool is_most_urgent = false;
    /// Urgency by which engines order prompts; 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Prompts of the service by urgency. Null: forecasts don't depend on the
    /// urgency.
    routing::rank_loads const* rank_loads = nullptr;
    /// Expected most urgent streams of the service, from all hosts.
    double urgent_streams = 0.0;
    /// Expected prompt tokens per second of these streams, and the longest
    /// event gap that they allow; reservation doesn't count work if one of them
    /// is 0.
    double urgent_tokens_per_second = 0.0;
    model::milliseconds urgent_event_gap{0};
    /// Placement uses speed classes, prefix demand, and waits for slots and
    /// memory.
    bool by_capacity = false;
    /// Live hosts, this one included, for demand that each one measures alone.
    std::size_t hosts = 1;
    /// Age that loads of other hosts reach before newer ones arrive.
    model::milliseconds load_age{0};
    /// Tokens that the KV cache of an engine of the service holds; 0: unknown.
    std::uint64_t kv_cache_tokens = 0;
};

/// The upstream chosen for a request and the values behind the choice.
struct pick
{
    /// Null if no upstream is available.
    upstream_ptr to;
    /// Forecast time to the first byte.
    model::milliseconds forecast{0};
    /// The same for an upstream at nominal performance.
    model::milliseconds nominal_forecast{0};
    /// Time that the network takes of it.
    double transit_ms = 0.0;
    /// Forecast of the longest gap between events of streams at the upstream.
    model::milliseconds event_gap_forecast{0};
    /// Whether the request doesn't fit into the upstream's KV cache beside the
    /// running ones.
    bool waits_for_memory = false;
    /// Tokens that the upstream prefills per millisecond; 0 for plain services.
    double tokens_per_ms = 0.0;
    /// Share of the upstream's rate that more urgent prompts take; 0 if
    /// forecasts don't depend on the urgency.
    double more_urgent_share = 0.0;
    /// Tokens that are forecast to be prefilled before the prompt; -1 if
    /// forecasts don't depend on the urgency.
    double tokens_ahead = -1.0;
    /// Measured performance of the upstream.
    upstream_performance performance;
    /// Shared tokens that are not expected in the upstream's KV cache.
    std::uint32_t uncached_tokens = 0;
    /// Estimated load of the upstream, without this request.
    std::uint32_t running = 0;
    std::uint64_t pending_prefill_tokens = 0;
    /// Engines reserved for urgent streams.
    std::size_t reserved_engines = 0;
    double cost = 0.0;
    std::size_t candidates = 0;
    /// Upstreams that accept no request from this host now because of their
    /// limit.
    std::size_t limited = 0;
    /// If all are limited: time until one accepts a request from this host;
    /// nothing if other hosts share the limits.
    std::optional<model::milliseconds> retry_after;
};

} // namespace caperjunction::routing

#endif
