#ifndef CAPERJUNCTION_PROGRAM_CHECK_COMMAND_HPP
#define CAPERJUNCTION_PROGRAM_CHECK_COMMAND_HPP

#include <string>
#include <vector>

namespace caperjunction::program {

/// Checks the lists in these files and prints each fault with its remedy:
/// PLANS ENTITLEMENTS, or these and HOSTS UPSTREAMS to see as well whether
/// the platform lists what the entitlements name.
///
/// Returns the exit code: 0 if there is no fault, 1 otherwise.
/// Thread safety: no shared state.
/// \throws model::error (bad_settings) if a file cannot be read or the number
/// of files is neither two nor four.
int check_files(std::vector<std::string> const& files);

} // namespace caperjunction::program

#endif
