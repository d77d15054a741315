#ifndef CAPERJUNCTION_BENCH_ENGINE_JOB_HPP
#define CAPERJUNCTION_BENCH_ENGINE_JOB_HPP

#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// One attempt as it reaches an engine.
struct engine_job
{
    std::uint64_t attempt = 0;
    /// A lower number goes first.
    std::uint32_t priority = 0;
    std::uint32_t prompt_tokens = 0;
    /// The answer's true length, which no policy is told.
    std::uint32_t output_tokens = 0;
    /// Output that the caller has already; it is taken in like a prompt.
    std::uint32_t resume_offset = 0;
    std::vector<std::uint64_t> prefix_blocks;
    /// The engine's process ends when it runs this one.
    bool crashes_engine = false;
};

} // namespace caperjunction::bench

#endif
