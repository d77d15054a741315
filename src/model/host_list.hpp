#ifndef CAPERJUNCTION_MODEL_HOST_LIST_HPP
#define CAPERJUNCTION_MODEL_HOST_LIST_HPP

#include "model/host.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::model {

/// The platform's list of live and leaving hosts; it lags behind the truth.
struct host_list
{
    std::uint64_t revision = 0;
    std::vector<host> members;

    friend bool operator==(host_list const&, host_list const&) = default;
};

} // namespace caperjunction::model

#endif
