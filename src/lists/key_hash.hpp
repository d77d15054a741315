#ifndef CAPERJUNCTION_LISTS_KEY_HASH_HPP
#define CAPERJUNCTION_LISTS_KEY_HASH_HPP

#include <string>
#include <string_view>

namespace caperjunction::lists {

/// Returns the hexadecimal SHA-256 of the text `salt_hex` followed by `key`.
std::string hash_key(std::string_view salt_hex, std::string_view key);

/// Compares in a time that does not depend on where the texts differ. Otherwise
/// the time until a refusal would reveal how much of a hash matches.
bool equal_constant_time(std::string_view left, std::string_view right);

/// Returns the part of an API key before its first dot, or an empty view if
/// there is no dot.
std::string_view key_id(std::string_view key);

} // namespace caperjunction::lists

#endif
