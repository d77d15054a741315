#ifndef CAPERJUNCTION_MODEL_OUTCOME_HPP
#define CAPERJUNCTION_MODEL_OUTCOME_HPP

#include <cstdint>
#include <string_view>

namespace caperjunction::model {

/// What a caller is told of whether its request ran.
enum class outcome : std::uint8_t
{
    /// The whole answer was relayed.
    ran,
    /// No byte of it was handed to an upstream, or the upstream refused it
    /// before running. Said only when that is certain.
    not_run,
    /// It may have run, wholly or in part.
    unknown,
};

/// The value of the `caperjunction-outcome` header.
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
