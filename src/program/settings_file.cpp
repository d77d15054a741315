#include "program/settings_file.hpp"

#include "model/error.hpp"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_cat.h>

#include <fstream>

namespace caperjunction::program {
namespace {

[[noreturn]] void refuse(std::string const& message, std::string const& remedy)
{
    throw model::error(model::error_kind::bad_settings, message, remedy);
}

void apply_line(std::string const& line, std::string const& where)
{
    std::size_t const equals = line.find('=');
    if (line.compare(0, 2, "--") != 0 || equals == std::string::npos) {
        refuse(absl::StrCat(where, " is not a setting"), "use --name=value");
    }
    std::string const name = line.substr(2, equals - 2);
    absl::CommandLineFlag* const flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr) {
        refuse(absl::StrCat(where, ": unknown flag --", name),
               "see caperjunction --help for the flags");
    }
    std::string reason;
    if (!flag->ParseFrom(line.substr(equals + 1), &reason)) {
        refuse(absl::StrCat(where, ": --", name, " has an invalid value"),
               reason.empty() ? "see caperjunction --help for its format"
                              : reason);
    }
}

} // namespace

void apply_settings_file(std::string const& path)
{
    std::ifstream file(path);
    if (!file) {
        refuse(absl::StrCat("cannot read ", path),
               "set --config to a readable file");
    }
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        if (!line.empty() && line.front() != '#') {
            apply_line(line, absl::StrCat(path, " line ", number));
        }
    }
}

} // namespace caperjunction::program
