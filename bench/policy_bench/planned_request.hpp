#ifndef CAPERJUNCTION_BENCH_PLANNED_REQUEST_HPP
#define CAPERJUNCTION_BENCH_PLANNED_REQUEST_HPP

#include "model/time.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// One request of a caller, generated before the run so that each policy gets
/// the same load.
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
    /// Random value that selects the host of each send.
    std::uint64_t balancer = 0;
    /// Time after which the caller hangs up, even during an answer.
    std::chrono::nanoseconds hangs_up_after{std::chrono::nanoseconds::max()};
    bool killer = false;
};

} // namespace caperjunction::bench

#endif
