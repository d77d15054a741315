#ifndef CAPERJUNCTION_BENCH_ATTEMPT_HPP
#define CAPERJUNCTION_BENCH_ATTEMPT_HPP

#include "bench/policy_bench/job_result.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// One attempt of a send at an upstream, and its result.
struct attempt
{
    std::size_t send = 0;
    std::size_t host = 0;
    std::size_t upstream = 0;
    /// Whether the host still waits for the end of the attempt.
    bool open = true;
    /// The connection could not be opened; the host detects this later.
    bool unsent = false;
    /// The policy has cancelled the attempt; its tokens are dropped.
    bool abandoned = false;
    std::uint32_t relayed = 0;
    /// Computed work; set when the attempt has ended at the upstream.
    job_result result;
};

} // namespace caperjunction::bench

#endif
