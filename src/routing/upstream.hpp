#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::routing {

/// An engine or a plain server, as described by its store entry.
struct upstream
{
    std::string id;
    std::string service;
    model::endpoint at;
    std::string data_centre;
    std::uint32_t slots = 0;
    /// It is shutting down and gets no new requests.
    bool draining = false;
    /// How much longer it is cold after its start, as of its entry.
    model::milliseconds cold_remaining{0};
    /// Distinguishes restarts under the same id; 0 if not reported.
    std::uint64_t started = 0;
    /// Version of its software, not of a model's weights; belongs to a start.
    std::string software_version;
};

} // namespace caperjunction::routing

#endif
