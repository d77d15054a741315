#ifndef CAPERJUNCTION_BENCH_TIER_RESULT_HPP
#define CAPERJUNCTION_BENCH_TIER_RESULT_HPP

#include <string>

namespace caperjunction::bench {

/// Use of the engines by a tier, as shares of their capacity.
struct tier_result
{
    std::string name;
    double guaranteed = 0.0;
    double demanded = 0.0;
    /// Work delivered from `scenario::settled` to the end of new requests,
    /// whether in time or not.
    double delivered = 0.0;
};

} // namespace caperjunction::bench

#endif
