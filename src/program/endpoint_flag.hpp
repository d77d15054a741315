#ifndef CAPERJUNCTION_PROGRAM_ENDPOINT_FLAG_HPP
#define CAPERJUNCTION_PROGRAM_ENDPOINT_FLAG_HPP

#include "model/endpoint.hpp"

#include <absl/strings/string_view.h>

#include <string>

namespace caperjunction::program {

/// Flag type for an address and port, e.g. 127.0.0.1:8080.
struct endpoint_flag
{
    model::endpoint value;
};

/// absl finds this function by its name, through argument-dependent lookup.
bool AbslParseFlag( // NOLINT(readability-identifier-naming)
    absl::string_view text,
    endpoint_flag* flag,
    std::string* error);

std::string AbslUnparseFlag( // NOLINT(readability-identifier-naming)
    endpoint_flag const& flag);

} // namespace caperjunction::program

#endif
