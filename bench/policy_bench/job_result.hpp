#ifndef CAPERJUNCTION_BENCH_JOB_RESULT_HPP
#define CAPERJUNCTION_BENCH_JOB_RESULT_HPP

#include "decide/event.hpp"

#include <cstdint>

namespace caperjunction::bench {

/// How an attempt ended at an upstream, and the work computed for it.
struct job_result
{
    std::uint64_t attempt = 0;
    decide::attempt_end end = decide::attempt_end::complete;
    std::uint32_t cached_tokens = 0;
    std::uint32_t computed_prompt = 0;
    std::uint32_t computed_output = 0;
};

} // namespace caperjunction::bench

#endif
