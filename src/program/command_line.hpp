#ifndef CAPERJUNCTION_PROGRAM_COMMAND_LINE_HPP
#define CAPERJUNCTION_PROGRAM_COMMAND_LINE_HPP

#include <string>
#include <vector>

namespace caperjunction::program {

/// What is left of the command line once the flags are read.
struct command_line
{
    /// Empty if none was given.
    std::string command;
    std::vector<std::string> arguments;
};

/// Fills the flags from the environment (CAPERJUNCTION_<FLAG>) and then from
/// the command line, which wins. Ends the process for --help.
///
/// \throws model::error (bad_settings) that names the flag and the remedy.
command_line read_command_line(int count, char** words);

} // namespace caperjunction::program

#endif
