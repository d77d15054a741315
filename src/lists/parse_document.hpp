#ifndef CAPERJUNCTION_LISTS_PARSE_DOCUMENT_HPP
#define CAPERJUNCTION_LISTS_PARSE_DOCUMENT_HPP

#include "lists/fault.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::lists {

/// Reads one published document as JSON, within the bounds of size and depth.
/// Nothing, and at least one fault more, if it cannot be used: a field given
/// twice is a fault, since readers differ on which of the two counts.
///
/// Thread safety: no shared state. Private to this folder.
std::optional<nlohmann::json> parse_document(std::string_view text,
                                             std::string const& file,
                                             std::vector<fault>& faults);

} // namespace caperjunction::lists

#endif
