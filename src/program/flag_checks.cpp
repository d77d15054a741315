#include "program/flag_checks.hpp"

#include "model/error.hpp"

namespace caperjunction::program {

void refuse_setting(std::string const& message, std::string const& remedy)
{
    throw model::error(model::error_kind::bad_settings, message, remedy);
}

void require_text(std::string const& value, std::string const& flag)
{
    if (value.empty()) {
        refuse_setting("--" + flag + " is not set", "set it to a value");
    }
}

model::milliseconds duration_in_range(absl::Duration value,
                                      absl::Duration min,
                                      absl::Duration max,
                                      std::string const& flag)
{
    if (value < min || value > max) {
        refuse_setting("--" + flag + " is out of range",
                       "choose a time from " + absl::FormatDuration(min)
                           + " to " + absl::FormatDuration(max));
    }
    return absl::ToChronoMilliseconds(value);
}

} // namespace caperjunction::program
