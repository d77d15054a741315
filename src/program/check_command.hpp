#ifndef CAPERJUNCTION_PROGRAM_CHECK_COMMAND_HPP
#define CAPERJUNCTION_PROGRAM_CHECK_COMMAND_HPP

#include <string>
#include <vector>

namespace caperjunction::program {

/// Checks the lists in `files` and prints each fault with its remedy. The files
/// are PLANS ENTITLEMENTS, optionally followed by HOSTS UPSTREAMS to check
/// that the platform lists everything that the entitlements name.
///
/// Returns the exit status: 0 if there are no faults, 1 otherwise.
/// Thread safety: no shared state.
/// \throws model::error (bad_settings) if a file cannot be read or the number
/// of files is neither two nor four.
int check_files(std::vector<std::string> const& files);

} // namespace caperjunction::program

#endif
