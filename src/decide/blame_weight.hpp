#ifndef CAPERJUNCTION_DECIDE_BLAME_WEIGHT_HPP
#define CAPERJUNCTION_DECIDE_BLAME_WEIGHT_HPP

#include <cstdint>

namespace caperjunction::decide {

/// How much a crash speaks against a request that was in flight there.
enum class blame_weight : std::uint8_t
{
    none,
    /// It had been streaming for a while, and so had all others.
    slight,
    /// It had just started, or was the only one that can have caused it.
    telling,
};

} // namespace caperjunction::decide

#endif
