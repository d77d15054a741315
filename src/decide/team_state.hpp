#ifndef CAPERJUNCTION_DECIDE_TEAM_STATE_HPP
#define CAPERJUNCTION_DECIDE_TEAM_STATE_HPP

#include "decide/rate_limiter.hpp"
#include "lists/plan.hpp"

#include <cstdint>

namespace caperjunction::decide {

/// One team of one customer on this host.
struct team_state
{
    std::uint32_t hash = 0;
    lists::usage_limits limits;
    rate_limiter limiter;
};

} // namespace caperjunction::decide

#endif
