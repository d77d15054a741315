#ifndef CAPERJUNCTION_MODEL_HOSTS_HPP
#define CAPERJUNCTION_MODEL_HOSTS_HPP

#include "model/host.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::model {

/// The platform's list of live and leaving hosts; it lags behind the truth.
struct hosts
{
    std::uint64_t revision = 0;
    std::vector<host> members;

    friend bool operator==(hosts const&, hosts const&) = default;
};

} // namespace caperjunction::model

#endif
