#ifndef CAPERJUNCTION_STAND_INS_ENGINE_FAULTS_HPP
#define CAPERJUNCTION_STAND_INS_ENGINE_FAULTS_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace caperjunction::stand_ins {

/// Faults that a test enables in an engine.
struct engine_faults
{
    /// The engine crashes once, when any answer reaches this token count.
    std::optional<std::uint32_t> crash_after_tokens;
    /// Each answer stalls after this many tokens; its connection stays open.
    std::optional<std::uint32_t> stall_after_tokens;
    /// A request whose prompt contains this text crashes the engine. Empty:
    /// disabled.
    std::string crash_on_text;
    /// New requests get 503 without being executed.
    bool refuse = false;
    /// Factor on the time to the first token and between tokens.
    double slow_factor = 1.0;

    friend bool operator==(engine_faults const&,
                           engine_faults const&) = default;
};

} // namespace caperjunction::stand_ins

#endif
