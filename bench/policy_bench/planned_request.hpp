#ifndef CAPERJUNCTION_BENCH_PLANNED_REQUEST_HPP
#define CAPERJUNCTION_BENCH_PLANNED_REQUEST_HPP

#include "model/time.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// One thing that a caller wants, drawn before the run, so that every policy
/// meets the same callers.
struct planned_request
{
    model::time_point when{};
    /// Index into the deployment's loads.
    std::size_t load = 0;
    std::size_t team = 0;
    std::uint32_t prompt_tokens = 1;
    std::uint32_t output_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks;
    std::uint64_t fingerprint = 0;
    std::chrono::nanoseconds call_length{0};
    /// Picks the host of each send.
    std::uint64_t balancer = 0;
    /// After this the caller hangs up, whatever it has got.
    std::chrono::nanoseconds hangs_up_after{std::chrono::nanoseconds::max()};
    bool killer = false;
};

} // namespace caperjunction::bench

#endif
