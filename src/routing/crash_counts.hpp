#ifndef CAPERJUNCTION_ROUTING_CRASH_COUNTS_HPP
#define CAPERJUNCTION_ROUTING_CRASH_COUNTS_HPP

#include "model/time.hpp"

#include <cstddef>

namespace caperjunction::routing {

/// The crashes of a service as they count against one part of its requests.
struct crash_counts
{
    /// Those at which it was in flight, neither answered since nor explained.
    std::size_t in_all = 0;
    /// Of these, each at a request that was sent after the one before.
    std::size_t in_sequence = 0;
    /// Time from its first crash to its last one.
    model::milliseconds span{0};
    /// Those without it, shortly before its last one.
    std::size_t without = 0;
    /// It was answered before its crashes.
    bool is_trusted = false;
};

} // namespace caperjunction::routing

#endif
