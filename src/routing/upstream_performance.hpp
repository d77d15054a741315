#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_PERFORMANCE_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_PERFORMANCE_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstdint>

namespace caperjunction::routing {

/// How fast an upstream works, as one or more hosts have seen it lately.
struct upstream_performance
{
    /// Time to the first event against what was forecast; 1: as forecast.
    double slowdown = 1.0;
    /// Hosts whose requests tell so; 0: nothing is known.
    std::uint32_t observers = 0;
    /// Longest pause between two events of a stream.
    model::milliseconds longest_gap{0};

    /// Takes in what others have seen: the mean of the slowness, since each
    /// host sees but a few requests, and the longest pause.
    void merge(upstream_performance const& other)
    {
        std::uint32_t const all = observers + other.observers;
        if (all > 0) {
            slowdown =
                (slowdown * observers + other.slowdown * other.observers) / all;
        }
        observers = all;
        longest_gap = std::max(longest_gap, other.longest_gap);
    }
};

} // namespace caperjunction::routing

#endif
