#ifndef CAPERJUNCTION_MODEL_RETRY_AFTER_HPP
#define CAPERJUNCTION_MODEL_RETRY_AFTER_HPP

#include "model/time.hpp"

#include <optional>
#include <string_view>

namespace caperjunction::model {

/// Parses a decimal number of zero or more. A number that is too large for a
/// double is the largest one. Returns std::nullopt for anything else.
///
/// Thread safety of all functions here: no shared state.
std::optional<double> parse_decimal(std::string_view text);

/// Parses the seconds of a Retry-After header, a decimal number of zero or
/// more. A time that is too long is shortened to a day. Returns std::nullopt
/// for anything else, dates too.
std::optional<milliseconds> parse_retry_after(std::string_view text);

} // namespace caperjunction::model

#endif
