#include "program/flag_checks.hpp"

#include "model/error.hpp"

namespace caperjunction::program {

void refuse_setting(std::string const& message, std::string const& remedy)
{
    throw model::error(model::error_kind::bad_settings, message, remedy);
}

void need_text(std::string const& value, std::string const& flag)
{
    if (value.empty()) {
        refuse_setting("--" + flag + " is not set", "give it a value");
    }
}

model::milliseconds time_within(absl::Duration value,
                                absl::Duration least,
                                absl::Duration most,
                                std::string const& flag)
{
    if (value < least || value > most) {
        refuse_setting("--" + flag + " is out of range",
                       "choose a time from " + absl::FormatDuration(least)
                           + " to " + absl::FormatDuration(most));
    }
    return absl::ToChronoMilliseconds(value);
}

} // namespace caperjunction::program
