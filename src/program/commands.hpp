#ifndef CAPERJUNCTION_PROGRAM_COMMANDS_HPP
#define CAPERJUNCTION_PROGRAM_COMMANDS_HPP

#include "program/command_line.hpp"

namespace caperjunction::program {

/// Runs the given command and returns the exit status.
///
/// \throws model::error with the remedy.
int run_command(command_line const& line);

} // namespace caperjunction::program

#endif
