#ifndef CAPERJUNCTION_ROUTING_SERVICE_HPP
#define CAPERJUNCTION_ROUTING_SERVICE_HPP

#include "model/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace caperjunction::routing {

/// A service of the configuration.
struct service
{
    std::string name;
    /// Maximum connections of one upstream from all hosts together.
    std::uint32_t max_connections = 64;
    /// Requests that one engine runs at once; 0 if the service has no model
    /// engine.
    std::uint32_t slots = 0;
    /// Tokens that the KV cache of one engine holds.
    std::uint64_t kv_cache_tokens = 0;
    /// Time for which an engine is cold after its start.
    model::milliseconds cold_start{0};
    /// Requests that a cold engine takes from all hosts together; no value: any
    /// rate.
    std::optional<double> cold_requests_per_second;
};

} // namespace caperjunction::routing

#endif
