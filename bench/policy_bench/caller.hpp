#ifndef CAPERJUNCTION_BENCH_CALLER_HPP
#define CAPERJUNCTION_BENCH_CALLER_HPP

#include "bench/policy_bench/planned_request.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// One who wants an answer, over all sends.
struct caller
{
    planned_request const* plan = nullptr;
    std::uint32_t sends = 0;
    /// Index of the last send.
    std::size_t send = 0;
    bool done = false;
    /// Hung up by its own will, not for want of an answer.
    bool left = false;
};

} // namespace caperjunction::bench

#endif
