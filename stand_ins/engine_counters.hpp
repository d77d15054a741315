#ifndef CAPERJUNCTION_STAND_INS_ENGINE_COUNTERS_HPP
#define CAPERJUNCTION_STAND_INS_ENGINE_COUNTERS_HPP

#include <cstdint>

namespace caperjunction::stand_ins {

/// What an engine has done since it started.
struct engine_counters
{
    std::uint64_t requests = 0;
    std::uint64_t begun = 0;
    std::uint64_t finished = 0;
    /// The client went away while it waited or ran.
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t crashes = 0;
    /// Requests that came with an offset above zero.
    std::uint64_t resumed = 0;
    /// Answers that went silent by a fault.
    std::uint64_t stalled = 0;
    std::uint64_t tokens = 0;
    /// Tokens of answers that were cancelled or cut off by a crash.
    std::uint64_t wasted_tokens = 0;
    std::uint64_t orders_taken = 0;
    std::uint64_t orders_refused = 0;
};

} // namespace caperjunction::stand_ins

#endif
