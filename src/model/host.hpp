#ifndef CAPERJUNCTION_MODEL_HOST_HPP
#define CAPERJUNCTION_MODEL_HOST_HPP

#include "model/endpoint.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::model {

/// Router process, as described by the platform's host list and by peers.
struct host
{
    std::string name;
    std::string region;
    std::string data_centre;
    /// Endpoint for caller traffic.
    endpoint callers;
    /// Endpoint for connections from other hosts.
    endpoint peers;
    /// Set by the platform or by the host itself before a planned shutdown.
    bool leaving = false;

    friend bool operator==(host const&, host const&) = default;
};

} // namespace caperjunction::model

#endif
