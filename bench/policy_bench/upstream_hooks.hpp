#ifndef CAPERJUNCTION_BENCH_UPSTREAM_HOOKS_HPP
#define CAPERJUNCTION_BENCH_UPSTREAM_HOOKS_HPP

#include "bench/policy_bench/job_result.hpp"

#include <cstdint>
#include <functional>

namespace caperjunction::bench {

/// Callbacks of a fake upstream.
struct upstream_hooks
{
    std::function<void(std::uint64_t attempt, std::uint32_t tokens)> tokens;
    std::function<void(job_result const&)> ended;
    /// The process crashed; `ended` has been called for all its attempts.
    std::function<void()> crashed;
};

} // namespace caperjunction::bench

#endif
