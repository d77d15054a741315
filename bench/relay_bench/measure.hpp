#ifndef CAPERJUNCTION_BENCH_RELAY_BENCH_MEASURE_HPP
#define CAPERJUNCTION_BENCH_RELAY_BENCH_MEASURE_HPP

#include <cstdint>
#include <string>

namespace caperjunction::relay_bench {

/// All measurements of one run.
struct figures
{
    double added_first_token_p50_ms = 0.0;
    double added_first_token_p99_ms = 0.0;
    double events_per_s_per_core = 0.0;
    double cpu_share_at_9000_events = 0.0;
    double rss_mb_at_2000_streams = 0.0;
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t failed = 0;
};

/// Runs all measurements with the programs in `folder`.
figures measure(std::string const& folder);

} // namespace caperjunction::relay_bench

#endif
