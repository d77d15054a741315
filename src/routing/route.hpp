#ifndef CAPERJUNCTION_ROUTING_ROUTE_HPP
#define CAPERJUNCTION_ROUTING_ROUTE_HPP

#include "model/time.hpp"
#include "routing/request_kind.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::routing {

/// A service that takes part of a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// What the operator says of one family of requests.
struct route
{
    std::string name;
    /// The value of the Host header.
    std::string authority;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::at_most_once;
    /// A broken stream may go on at another upstream after its last event.
    bool resumable = false;
    /// Served without an API key.
    bool is_public = false;
    /// Its requests name the parts of their prompt.
    bool has_prompt_affinity = false;
    /// Longest time that a caller is kept waiting.
    model::milliseconds timeout{30'000};
    /// Time to the answer (streams: to the first event) that is aimed at.
    model::milliseconds latency_target{1'000};
    /// Longest pause between two events that is still on time; 0: none.
    model::milliseconds max_event_gap{0};
    /// Upstreams that one request may be sent to, at least 1.
    std::uint32_t max_attempts = 1;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Never empty.
    std::vector<weighted_service> split;

    /// Whether a pause between two events makes a stream late.
    bool is_gap_too_long(model::milliseconds gap) const
    {
        return max_event_gap.count() > 0 && gap > max_event_gap;
    }

    /// Whether it may run again after it may have run.
    bool repeatable() const
    {
        return kind == request_kind::idempotent || resumable;
    }
};

} // namespace caperjunction::routing

#endif
