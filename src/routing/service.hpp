#ifndef CAPERJUNCTION_ROUTING_SERVICE_HPP
#define CAPERJUNCTION_ROUTING_SERVICE_HPP

#include <cstdint>
#include <string>

namespace caperjunction::routing {

/// A service as the configuration names it.
struct service
{
    std::string name;
    /// Connections that one upstream takes from all hosts together.
    std::uint32_t max_connections = 64;
    /// Requests that one engine runs at once; 0: not a model engine.
    std::uint32_t slots = 0;
    /// Tokens that one engine keeps in memory.
    std::uint64_t kv_cache_tokens = 0;
};

} // namespace caperjunction::routing

#endif
