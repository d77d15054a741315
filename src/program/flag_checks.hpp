#ifndef CAPERJUNCTION_PROGRAM_FLAG_CHECKS_HPP
#define CAPERJUNCTION_PROGRAM_FLAG_CHECKS_HPP

#include "model/time.hpp"

#include <absl/time/time.h>

#include <string>

namespace caperjunction::program {

/// \throws model::error (bad_settings) always.
[[noreturn]] void refuse_setting(std::string const& message,
                                 std::string const& remedy);

/// \throws model::error (bad_settings) if `value` is empty.
void require_text(std::string const& value, std::string const& flag);

/// Returns `value`.
/// \throws model::error (bad_settings) if it is not within `min`..`max`.
model::milliseconds duration_in_range(absl::Duration value,
                                      absl::Duration min,
                                      absl::Duration max,
                                      std::string const& flag);

} // namespace caperjunction::program

#endif
