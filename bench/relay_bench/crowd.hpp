#ifndef CAPERJUNCTION_BENCH_RELAY_BENCH_CROWD_HPP
#define CAPERJUNCTION_BENCH_RELAY_BENCH_CROWD_HPP

#include "model/endpoint.hpp"
#include "runtime/event_loop.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::relay_bench {

/// What a crowd of streams is to look like.
struct crowd_plan
{
    model::endpoint to;
    std::size_t streams = 200;
    /// Streams begun in all; each that ends is followed by another.
    std::size_t total = 1000;
    int tokens = 50;
    /// Between the starts of the first streams, so that they spread.
    std::chrono::microseconds stagger{500};
    /// Sent as Authorization.
    std::string key;
};

/// What became of it.
struct crowd_result
{
    /// From each stream's start to its first byte, in milliseconds.
    std::vector<double> first_byte_ms;
    std::uint64_t events = 0;
    /// Tokens that never came, or came twice or out of order.
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t failed = 0;
};

/// Runs streams against one address until `total` of them have ended.
///
/// Thread safety: none; runs the loop.
crowd_result run_crowd(runtime::event_loop& loop, crowd_plan const& plan);

/// The value below which this share of the values lies; 0 if there is none.
double quantile(std::vector<double> values, double share);

} // namespace caperjunction::relay_bench

#endif
