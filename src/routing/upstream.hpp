#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_HPP

#include "model/endpoint.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::routing {

/// An engine or a plain server as it describes itself.
struct upstream
{
    std::string id;
    std::string service;
    model::endpoint at;
    std::string data_centre;
    std::uint32_t slots = 0;
    /// Leaving: gets no new request.
    bool draining = false;
    /// Tells one start from another under the same id; 0 if not said.
    std::uint64_t started = 0;
};

} // namespace caperjunction::routing

#endif
