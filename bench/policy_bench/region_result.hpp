#ifndef CAPERJUNCTION_BENCH_REGION_RESULT_HPP
#define CAPERJUNCTION_BENCH_REGION_RESULT_HPP

#include <cstdint>
#include <string>

namespace caperjunction::bench {

/// Results of the callers of one region that arrived in the scenario's window.
struct region_result
{
    std::string name;
    std::uint32_t offered = 0;
    std::uint32_t served = 0;
};

} // namespace caperjunction::bench

#endif
