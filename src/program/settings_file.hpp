#ifndef CAPERJUNCTION_PROGRAM_SETTINGS_FILE_HPP
#define CAPERJUNCTION_PROGRAM_SETTINGS_FILE_HPP

#include <string>

namespace caperjunction::program {

/// Sets the flags that a file names, one `--name=value` a line; empty lines
/// and lines that begin with # are skipped.
///
/// \throws model::error (bad_settings) if the file can't be read, a line is
/// no flag or a value is bad.
void apply_settings_file(std::string const& path);

} // namespace caperjunction::program

#endif
