#ifndef CAPERJUNCTION_PROGRAM_COMMAND_LINE_HPP
#define CAPERJUNCTION_PROGRAM_COMMAND_LINE_HPP

#include <string>
#include <vector>

namespace caperjunction::program {

/// Command line without the flags.
struct command_line
{
    /// Empty if none was given.
    std::string command;
    std::vector<std::string> arguments;
};

/// Sets the flags from the environment (CAPERJUNCTION_<FLAG>) and then from the
/// command line, which takes precedence. Exits the process for --help.
///
/// \throws model::error (bad_settings) with the flag's name and the remedy.
command_line read_command_line(int argc, char** argv);

} // namespace caperjunction::program

#endif
