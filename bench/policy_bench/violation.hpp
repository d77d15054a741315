#ifndef CAPERJUNCTION_BENCH_VIOLATION_HPP
#define CAPERJUNCTION_BENCH_VIOLATION_HPP

#include <cstdint>
#include <string>

namespace caperjunction::bench {

/// Violations of one kind.
struct violation
{
    std::string kind;
    std::uint32_t count = 0;
    /// Description of the first occurrence.
    std::string example;
};

} // namespace caperjunction::bench

#endif
