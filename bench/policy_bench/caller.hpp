#ifndef CAPERJUNCTION_BENCH_CALLER_HPP
#define CAPERJUNCTION_BENCH_CALLER_HPP

#include "bench/policy_bench/planned_request.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// State of a caller over all its sends.
struct caller
{
    planned_request const* plan = nullptr;
    std::uint32_t sends = 0;
    /// Index of the last send.
    std::size_t send = 0;
    bool done = false;
    /// The caller hung up as planned, not because an answer was late.
    bool left = false;
};

} // namespace caperjunction::bench

#endif
