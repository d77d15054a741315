#ifndef CAPERJUNCTION_ROUTING_ROUTE_HPP
#define CAPERJUNCTION_ROUTING_ROUTE_HPP

#include "model/time.hpp"
#include "routing/request_kind.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::routing {

/// A service that receives part of a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Operator settings of one group of requests.
struct route
{
    std::string name;
    /// Value of the Host header.
    std::string authority;
    /// Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::at_most_once;
    /// A broken stream may continue at another upstream after its last event.
    bool resumable = false;
    /// Requests need no API key.
    bool is_public = false;
    /// Requests declare the parts of their prompt.
    bool has_prompt_affinity = false;
    /// Maximum time that a caller waits.
    model::milliseconds timeout{30'000};
    /// Target time to the answer; for streams, to the first event.
    model::milliseconds latency_target{1'000};
    /// Maximum time between two events of a stream that is on time; 0 means no
    /// limit.
    model::milliseconds max_event_gap{0};
    /// Maximum upstreams that one request is sent to; at least 1.
    std::uint32_t max_attempts = 1;
    /// 0 is the most urgent.
    std::uint32_t rank = 0;
    /// Never empty.
    std::vector<weighted_service> split;
    /// Regions that may serve its requests; empty: all.
    std::vector<std::string> home_regions;

    /// Returns whether a gap between two events makes a stream late.
    bool is_gap_too_long(model::milliseconds gap) const
    {
        return max_event_gap.count() > 0 && gap > max_event_gap;
    }

    /// Returns whether a request that may have run may run again.
    bool repeatable() const
    {
        return kind == request_kind::idempotent || resumable;
    }
};

} // namespace caperjunction::routing

#endif
