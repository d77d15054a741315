#ifndef CAPERJUNCTION_DECIDE_INDICES_HPP
#define CAPERJUNCTION_DECIDE_INDICES_HPP

#include <cstdint>
#include <limits>

namespace caperjunction::decide {

/// Dense numbers for names within one router, so that decisions neither compare
/// nor hash strings.
using index = std::uint32_t;

inline constexpr index no_index = std::numeric_limits<index>::max();

} // namespace caperjunction::decide

#endif
