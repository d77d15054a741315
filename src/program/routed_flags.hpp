#ifndef CAPERJUNCTION_PROGRAM_ROUTED_FLAGS_HPP
#define CAPERJUNCTION_PROGRAM_ROUTED_FLAGS_HPP

#include "program/routed_settings.hpp"

namespace caperjunction::program {

/// Returns the settings from the settings file, the flags and the environment.
///
/// \pre The command line has been read.
/// \throws model::error (bad_settings) with the remedy.
routed_settings load_routed_settings();

} // namespace caperjunction::program

#endif
