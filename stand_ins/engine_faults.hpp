#ifndef CAPERJUNCTION_STAND_INS_ENGINE_FAULTS_HPP
#define CAPERJUNCTION_STAND_INS_ENGINE_FAULTS_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace caperjunction::stand_ins {

/// What goes wrong in an engine, as switched by a test.
struct engine_faults
{
    /// The engine crashes when any answer has got so many tokens; once.
    std::optional<std::uint32_t> crash_after_tokens;
    /// Each answer goes silent after so many tokens.
    std::optional<std::uint32_t> stall_after_tokens;
    /// Each request whose prompt holds this crashes the engine.
    std::string crash_on_text;
    /// New requests get 503 before anything has run.
    bool refuse = false;
    /// Times by which all work takes longer.
    double slow_factor = 1.0;

    friend bool operator==(engine_faults const&,
                           engine_faults const&) = default;
};

} // namespace caperjunction::stand_ins

#endif
