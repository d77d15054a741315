#ifndef CAPERJUNCTION_LISTS_TIER_HPP
#define CAPERJUNCTION_LISTS_TIER_HPP

#include <cstdint>
#include <string>

namespace caperjunction::lists {

/// Priority level of service classes. Rank 0 is the highest.
struct tier
{
    std::string name;
    std::uint32_t rank = 0;
    /// Share of capacity guaranteed to this tier under saturation, 0..1.
    double guaranteed_share = 0.0;

    friend bool operator==(tier const&, tier const&) = default;
};

} // namespace caperjunction::lists

#endif
