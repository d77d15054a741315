#ifndef CAPERJUNCTION_BENCH_TIER_RESULT_HPP
#define CAPERJUNCTION_BENCH_TIER_RESULT_HPP

#include <string>

namespace caperjunction::bench {

/// A tier's part of the engines' capacity, all as shares of it.
struct tier_result
{
    std::string name;
    double guaranteed = 0.0;
    double demanded = 0.0;
    /// Work delivered, in time or not, from `scenario::settled` to the end of
    /// new requests.
    double delivered = 0.0;
};

} // namespace caperjunction::bench

#endif
