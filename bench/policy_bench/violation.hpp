#ifndef CAPERJUNCTION_BENCH_VIOLATION_HPP
#define CAPERJUNCTION_BENCH_VIOLATION_HPP

#include <cstdint>
#include <string>

namespace caperjunction::bench {

/// Something that must never happen and did, so and so often.
struct violation
{
    std::string kind;
    std::uint32_t count = 0;
    /// The first case.
    std::string example;
};

} // namespace caperjunction::bench

#endif
