#ifndef CAPERJUNCTION_DECIDE_CRASH_EVIDENCE_HPP
#define CAPERJUNCTION_DECIDE_CRASH_EVIDENCE_HPP

#include <cstdint>

namespace caperjunction::decide {

/// How much a crash speaks against a request that was in flight there.
enum class crash_evidence : std::uint8_t
{
    none,
    /// It had been streaming for a while, and so had all others.
    weak,
    /// It had just started, or was the only one that can have caused it.
    strong,
};

} // namespace caperjunction::decide

#endif
