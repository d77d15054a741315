#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_PACE_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_PACE_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstdint>

namespace caperjunction::routing {

/// How fast an upstream works, as one or more hosts have seen it lately.
struct upstream_pace
{
    /// Time to the first event against what was forecast; 1: as forecast.
    double slowness = 1.0;
    /// Hosts whose requests tell so; 0: nothing is known.
    std::uint32_t voters = 0;
    /// Longest pause between two events of a stream.
    model::milliseconds pause{0};

    /// Takes in what others have seen: the mean of the slowness, since each
    /// host sees but a few requests, and the longest pause.
    void merge(upstream_pace const& other)
    {
        std::uint32_t const all = voters + other.voters;
        if (all > 0) {
            slowness =
                (slowness * voters + other.slowness * other.voters) / all;
        }
        voters = all;
        pause = std::max(pause, other.pause);
    }
};

} // namespace caperjunction::routing

#endif
