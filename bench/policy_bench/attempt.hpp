#ifndef CAPERJUNCTION_BENCH_ATTEMPT_HPP
#define CAPERJUNCTION_BENCH_ATTEMPT_HPP

#include "bench/policy_bench/job_result.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// One attempt of a send at an upstream, and what came of it.
struct attempt
{
    std::size_t send = 0;
    std::size_t host = 0;
    std::size_t upstream = 0;
    /// Whether its host still waits for it.
    bool open = true;
    /// No connection could be made; its host will notice.
    bool unsent = false;
    /// Its tokens are dropped: the policy has cancelled it.
    bool abandoned = false;
    std::uint32_t relayed = 0;
    /// What the upstream computed, known once it has ended there.
    job_result result;
};

} // namespace caperjunction::bench

#endif
