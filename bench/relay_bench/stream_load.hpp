#ifndef CAPERJUNCTION_BENCH_RELAY_BENCH_STREAM_LOAD_HPP
#define CAPERJUNCTION_BENCH_RELAY_BENCH_STREAM_LOAD_HPP

#include "model/endpoint.hpp"
#include "runtime/event_loop.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::relay_bench {

/// Parameters of a load of concurrent streams.
struct load_plan
{
    model::endpoint to;
    std::size_t streams = 200;
    /// Total number of streams; a new one starts whenever one ends.
    std::size_t total = 1000;
    int tokens = 50;
    /// Delay between the starts of the first streams; spreads them in time.
    std::chrono::microseconds stagger{500};
    /// API key, sent in the Authorization header.
    std::string key;
};

/// Measurements of a load.
struct load_result
{
    /// From each stream's start to its first byte, in milliseconds.
    std::vector<double> first_byte_ms;
    std::uint64_t events = 0;
    /// Tokens that never arrived, and tokens that arrived twice or out of
    /// order.
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t failed = 0;
};

/// Runs streams against one address until `total` streams have ended.
///
/// Thread safety: none; runs the loop.
load_result run_load(runtime::event_loop& loop, load_plan const& plan);

/// Returns the value below which this share of the values lies; 0 if there are
/// no values.
double quantile(std::vector<double> values, double share);

} // namespace caperjunction::relay_bench

#endif
