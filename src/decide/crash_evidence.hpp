#ifndef CAPERJUNCTION_DECIDE_CRASH_EVIDENCE_HPP
#define CAPERJUNCTION_DECIDE_CRASH_EVIDENCE_HPP

#include <cstdint>

namespace caperjunction::decide {

/// Evidence that a request caused the engine crash during which it was in
/// flight.
enum class crash_evidence : std::uint8_t
{
    none,
    /// The request had been streaming, and so had all others on the engine.
    weak,
    /// The request had produced no token, or is the only possible cause.
    strong,
};

} // namespace caperjunction::decide

#endif
