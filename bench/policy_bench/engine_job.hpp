#ifndef CAPERJUNCTION_BENCH_ENGINE_JOB_HPP
#define CAPERJUNCTION_BENCH_ENGINE_JOB_HPP

#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// One attempt as submitted to an engine.
struct engine_job
{
    std::uint64_t attempt = 0;
    /// Lower numbers are processed first.
    std::uint32_t priority = 0;
    std::uint32_t prompt_tokens = 0;
    /// Actual length of the answer; not known to any policy.
    std::uint32_t output_tokens = 0;
    /// Output tokens that the caller already has; prefilled like a prompt.
    std::uint32_t resume_offset = 0;
    std::vector<std::uint64_t> prefix_blocks;
    /// The engine process crashes when it runs this job.
    bool crashes_engine = false;
};

} // namespace caperjunction::bench

#endif
