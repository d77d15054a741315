#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_VIOLATIONS_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_VIOLATIONS_HPP

#include <cstdint>

namespace caperjunction::claims_explorer {

/// Number of violations of each kind in a history.
struct violations
{
    std::uint32_t runs_twice = 0;
    std::uint32_t false_not_run = 0;
    std::uint32_t stale_orders = 0;

    bool any() const
    {
        return runs_twice + false_not_run + stale_orders > 0;
    }
};

} // namespace caperjunction::claims_explorer

#endif
