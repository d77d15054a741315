#ifndef CAPERJUNCTION_BENCH_RUN_RESULT_HPP
#define CAPERJUNCTION_BENCH_RUN_RESULT_HPP

#include "bench/policy_bench/class_result.hpp"
#include "bench/policy_bench/region_result.hpp"
#include "bench/policy_bench/tier_result.hpp"
#include "bench/policy_bench/violation.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::bench {

/// The outcome of one run.
///
/// Work is measured in output tokens. A prompt token counts as many as an
/// engine with a full batch generates in the time of one prompt token (0.133),
/// whether or not it was cached. Capacity is the work of all engines with full
/// batches and empty caches.
struct run_result
{
    std::string deployment;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<class_result> classes;
    std::vector<tier_result> tiers;
    std::vector<region_result> regions;
    /// Work delivered within targets, divided by the smaller of the demanded
    /// work and the capacity until the end of new requests. If the capacity is
    /// smaller, only work delivered until then counts.
    double goodput_ratio = 0.0;
    /// Share of the computed work that did not become part of an answer that
    /// its caller received.
    double wasted_ratio = 0.0;
    std::uint64_t cross_region_bytes = 0;
    std::uint32_t engines_lost = 0;
    std::vector<violation> violations;
};

} // namespace caperjunction::bench

#endif
