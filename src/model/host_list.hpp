#ifndef CAPERJUNCTION_MODEL_HOST_LIST_HPP
#define CAPERJUNCTION_MODEL_HOST_LIST_HPP

#include "model/host.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::model {

/// Live and leaving hosts as published by the platform. The list lags behind
/// the actual state of the fleet.
struct host_list
{
    std::uint64_t revision = 0;
    std::vector<host> members;

    friend bool operator==(host_list const&, host_list const&) = default;
};

} // namespace caperjunction::model

#endif
