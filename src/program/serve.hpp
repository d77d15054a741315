#ifndef CAPERJUNCTION_PROGRAM_SERVE_HPP
#define CAPERJUNCTION_PROGRAM_SERVE_HPP

#include "program/settings.hpp"

namespace caperjunction::program {

/// Runs one host until a planned stop (SIGTERM or SIGINT) has completed.
///
/// Returns the process's exit status: 0 if no answer was cut off.
/// \throws model::error (bad_settings) if an address cannot be bound.
int serve(settings const& settings);

} // namespace caperjunction::program

#endif
