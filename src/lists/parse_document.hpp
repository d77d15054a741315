#ifndef CAPERJUNCTION_LISTS_PARSE_DOCUMENT_HPP
#define CAPERJUNCTION_LISTS_PARSE_DOCUMENT_HPP

#include "lists/fault.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::lists {

/// Parses a published document as JSON and enforces the limits on size and
/// nesting depth. Returns nothing and appends at least one fault if the
/// document is unusable. A duplicate field is a fault, since JSON parsers
/// differ on which of the two values they use.
///
/// Thread safety: no shared state. Private to this folder.
std::optional<nlohmann::json> parse_document(std::string_view text,
                                             std::string const& file,
                                             std::vector<fault>& faults);

} // namespace caperjunction::lists

#endif
