#ifndef CAPERJUNCTION_LISTS_PARSE_DOCUMENT_HPP
#define CAPERJUNCTION_LISTS_PARSE_DOCUMENT_HPP

#include "lists/fault.hpp"
#include "lists/object_reader.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::lists {

/// Parses a published document as JSON, enforces the limits on size and nesting
/// depth, calls `read` with the root object, and appends a fault for each field
/// of it that `read` hasn't read. Appends at least one fault and doesn't call
/// `read` if the document is unusable. A duplicate field is a fault, since JSON
/// parsers differ on which of the two values they use.
///
/// Thread safety: no shared state. Private to this folder.
void parse_document(std::string_view text,
                    std::string const& file,
                    std::vector<fault>& faults,
                    std::function<void(object_reader&)> const& read);

} // namespace caperjunction::lists

#endif
