#ifndef CAPERJUNCTION_STAND_INS_ENGINE_COUNTERS_HPP
#define CAPERJUNCTION_STAND_INS_ENGINE_COUNTERS_HPP

#include <cstdint>

namespace caperjunction::stand_ins {

/// Event counts of an engine since it started.
struct engine_counters
{
    std::uint64_t requests = 0;
    std::uint64_t begun = 0;
    std::uint64_t finished = 0;
    /// Requests whose client disconnected while they waited or ran.
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t crashes = 0;
    /// Requests with a resume offset above zero.
    std::uint64_t resumed = 0;
    /// Answers that a fault stalled.
    std::uint64_t stalled = 0;
    std::uint64_t tokens = 0;
    /// Tokens computed for answers that were cancelled or ended by a crash.
    std::uint64_t wasted_tokens = 0;
    std::uint64_t orders_taken = 0;
    std::uint64_t orders_refused = 0;
};

} // namespace caperjunction::stand_ins

#endif
