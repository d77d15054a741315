#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_PERFORMANCE_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_PERFORMANCE_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstdint>

namespace caperjunction::routing {

/// Recent performance of an upstream as measured by one or more hosts.
struct upstream_performance
{
    /// Ratio of the measured to the forecast time to the first event.
    double slowdown = 1.0;
    /// Hosts with a measurement; 0 if there is none.
    std::uint32_t observers = 0;
    /// Longest time between two events of a stream.
    model::milliseconds longest_gap{0};

    /// Merges the measurements of other hosts: the mean of the slowdown, since
    /// each host sees only a few requests, and the maximum of the gaps.
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
