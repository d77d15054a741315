#ifndef CAPERJUNCTION_DECIDE_PEER_HPP
#define CAPERJUNCTION_DECIDE_PEER_HPP

#include "decide/digest.hpp"
#include "model/time.hpp"

#include <string>

namespace caperjunction::decide {

/// Another host as described by its latest digest.
struct peer
{
    std::string name;
    digest load;
    model::time_point received_at{};
    /// False if the host is gone or has been silent for too long.
    bool live = false;
};

} // namespace caperjunction::decide

#endif
