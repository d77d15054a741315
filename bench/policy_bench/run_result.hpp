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
/// Work is counted in output tokens; a prompt token counts for as many as an
/// engine with a full batch puts out in the time that it takes in one prompt
/// token (0.133), whether or not the cache held it. Capacity is what all
/// engines do with full batches and nothing cached.
struct run_result
{
    std::string deployment;
    std::string scenario;
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<class_result> classes;
    std::vector<tier_result> tiers;
    std::vector<region_result> regions;
    /// Work delivered within target over the smaller of the work demanded
    /// and the capacity while requests came. Where capacity is the smaller,
    /// only what was delivered in that time counts.
    double goodput_ratio = 0.0;
    /// Work computed that did not become part of an answer which its caller
    /// took, over all computed.
    double wasted_ratio = 0.0;
    std::uint64_t cross_region_bytes = 0;
    std::uint32_t engines_lost = 0;
    std::vector<violation> violations;
};

} // namespace caperjunction::bench

#endif
