#ifndef CAPERJUNCTION_LISTS_TEXT_VALIDATION_HPP
#define CAPERJUNCTION_LISTS_TEXT_VALIDATION_HPP

#include <string>

namespace caperjunction::lists {

/// Returns whether the text is a valid name: 1 to 64 letters, digits, or
/// - _ . : Names are used in log values, metric labels and paths.
/// Thread safety of all functions here: no shared state.
bool is_name(std::string const& text);

/// Returns whether the text consists of lower-case hex digits.
bool is_hex(std::string const& text);

/// Returns whether the text is a numeric IPv4 or IPv6 address.
bool is_numeric_address(std::string const& text);

/// Truncates a field name from a list to 64 characters and replaces characters
/// that are invalid in names by `?`. Faults are logged, where a long or
/// multi-line name could hide or forge log lines.
std::string sanitize_field_name(std::string const& field);

} // namespace caperjunction::lists

#endif
