#ifndef CAPERJUNCTION_ROUTING_PICK_HPP
#define CAPERJUNCTION_ROUTING_PICK_HPP

#include "model/time.hpp"
#include "routing/prompt.hpp"
#include "routing/route.hpp"
#include "routing/upstream_state.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::routing {

/// What placing has to know of a request.
struct pick_request
{
    /// Never null.
    routing::route const* route = nullptr;
    routing::prompt const* prompt = nullptr;
    std::string_view service;
    std::size_t body_bytes = 0;
    /// Upstreams that it was sent to, or that could not be reached for it.
    std::vector<std::string> const* attempted = nullptr;
    /// No route of prompts has a lower rank.
    bool is_most_urgent = false;
    /// Most urgent streams of the service that run, from all hosts.
    std::uint32_t urgent_streams = 0;
};

/// Where a request goes and what decided.
struct pick
{
    /// Null: there is no upstream for it.
    upstream_ptr to;
    /// Time to its first byte, as forecast.
    model::milliseconds forecast{0};
    /// The same at the usual pace of upstreams.
    model::milliseconds nominal_forecast{0};
    /// The upstream's pace, as far as it is known.
    upstream_performance performance;
    /// Shared tokens that are not expected in the upstream's memory.
    std::uint32_t uncached_tokens = 0;
    /// What the upstream was thought to hold, without this request.
    std::uint32_t running = 0;
    std::uint64_t pending_prefill_tokens = 0;
    /// Engines that urgent streams had to themselves.
    std::size_t reserved_engines = 0;
    double cost = 0.0;
    std::size_t candidates = 0;
    /// Upstreams that take no more now, by their own word.
    std::size_t limited = 0;
    /// Where these are all: until one takes a request from this host; nothing
    /// if they are left to other hosts.
    std::optional<model::milliseconds> retry_after;
};

} // namespace caperjunction::routing

#endif
