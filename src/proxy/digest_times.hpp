#ifndef CAPERJUNCTION_PROXY_DIGEST_TIMES_HPP
#define CAPERJUNCTION_PROXY_DIGEST_TIMES_HPP

#include "model/time.hpp"

#include <chrono>
#include <cstdint>

namespace caperjunction::proxy {

/// Longest time in a digest, some 73 years; sums of a few don't overflow.
constexpr std::uint64_t max_digest_micros =
    std::chrono::duration_cast<std::chrono::microseconds>(
        model::time_point::max().time_since_epoch())
        .count()
    / 4;

std::uint64_t micros_of(model::time_point time);

/// Returns the time that is `micros` after the clock's epoch, limited to
/// `max_digest_micros`.
model::time_point time_of(std::uint64_t micros);

/// Returns `time` as far as the field can state it; a negative one as zero.
std::uint32_t clamp_micros(std::chrono::microseconds time);

} // namespace caperjunction::proxy

#endif
