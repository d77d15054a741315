#ifndef CAPERJUNCTION_PROGRAM_SETTINGS_FILE_HPP
#define CAPERJUNCTION_PROGRAM_SETTINGS_FILE_HPP

#include <string>

namespace caperjunction::program {

/// Sets the flags in a file with one `--name=value` per line. Empty lines and
/// lines that begin with # are skipped.
///
/// \throws model::error (bad_settings) if the file cannot be read, a line is
/// not a flag or a value is invalid.
void apply_settings_file(std::string const& path);

} // namespace caperjunction::program

#endif
