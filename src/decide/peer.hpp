#ifndef CAPERJUNCTION_DECIDE_PEER_HPP
#define CAPERJUNCTION_DECIDE_PEER_HPP

#include "decide/digest.hpp"
#include "model/time.hpp"

#include <string>

namespace caperjunction::decide {

/// Another host, as its latest digest shows it.
struct peer
{
    std::string name;
    digest load;
    model::time_point received_at{};
    /// False once it is gone, or silent for too long.
    bool live = false;
};

} // namespace caperjunction::decide

#endif
