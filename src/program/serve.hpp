#ifndef CAPERJUNCTION_PROGRAM_SERVE_HPP
#define CAPERJUNCTION_PROGRAM_SERVE_HPP

#include "program/settings.hpp"

namespace caperjunction::program {

/// Runs one host until a planned stop (SIGTERM or SIGINT) is done.
///
/// Returns the process's exit status: 0 if no answer was cut off.
/// \throws model::error (bad_settings) if an address is not to be had.
int serve(settings const& settings);

} // namespace caperjunction::program

#endif
