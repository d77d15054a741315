#ifndef CAPERJUNCTION_ROUTING_SERVICE_HPP
#define CAPERJUNCTION_ROUTING_SERVICE_HPP

#include <cstdint>
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
};

} // namespace caperjunction::routing

#endif
