#ifndef CAPERJUNCTION_MODEL_HOST_HPP
#define CAPERJUNCTION_MODEL_HOST_HPP

#include "model/endpoint.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::model {

/// One process of the router, as the platform's list and peers name it.
struct host
{
    std::string name;
    std::string region;
    std::string data_centre;
    /// Where callers reach it.
    endpoint callers;
    /// Where its peers reach it.
    endpoint peers;
    /// Set by the platform or by the host itself before a planned stop.
    bool leaving = false;

    friend bool operator==(host const&, host const&) = default;
};

} // namespace caperjunction::model

#endif
