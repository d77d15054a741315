#ifndef CAPERJUNCTION_LISTS_TEXT_VALIDATION_HPP
#define CAPERJUNCTION_LISTS_TEXT_VALIDATION_HPP

#include <string>

namespace caperjunction::lists {

/// Whether the text may be a name: 1 to 64 letters, digits, or - _ . :
/// Names become log values, metric labels and parts of paths.
/// Thread safety of these: no shared state.
bool is_name(std::string const& text);

/// Whether it holds lower-case hex digits alone.
bool is_hex(std::string const& text);

/// Whether it is an IPv4 or IPv6 address in numbers.
bool is_numeric_address(std::string const& text);

/// What may be shown of a field that some list names: a fault goes into logs,
/// where a long or many-lined text would hide or forge others.
std::string sanitize_field_name(std::string const& field);

} // namespace caperjunction::lists

#endif
