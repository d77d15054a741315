#ifndef CAPERJUNCTION_BENCH_FLEET_BENCH_FIGURE_HPP
#define CAPERJUNCTION_BENCH_FLEET_BENCH_FIGURE_HPP

#include <cstddef>
#include <string>

namespace caperjunction::bench {

/// One measured number.
struct figure
{
    std::string scenario;
    std::size_t hosts = 0;
    /// Settings that differ from the defaults; empty if there are none.
    std::string setting;
    std::string name;
    double value = 0.0;
    std::string unit;
};

} // namespace caperjunction::bench

#endif
