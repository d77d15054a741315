#ifndef CAPERJUNCTION_MODEL_OUTCOME_HPP
#define CAPERJUNCTION_MODEL_OUTCOME_HPP

#include <cstdint>
#include <string_view>

namespace caperjunction::model {

/// Execution status of a request, as reported to its caller.
enum class outcome : std::uint8_t
{
    /// The complete answer was relayed.
    ran,
    /// No byte of the request was sent to an upstream, or the upstream
    /// refused it before execution. Reported only if this is certain.
    not_run,
    /// The request may have run, completely or in part.
    unknown,
};

/// Returns the value of the `caperjunction-outcome` header.
constexpr std::string_view to_string(outcome value)
{
    switch (value) {
    case outcome::ran:
        return "ran";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace caperjunction::model

#endif
