#include "program/command_line.hpp"

#include "model/error.hpp"
#include "program/flags.hpp"
#include "program/settings_file.hpp"

#include <absl/flags/commandlineflag.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <csignal>
#include <cstdlib>

namespace caperjunction::program {
namespace {

constexpr char const* usage =
    "routes language-model traffic with service levels.\n\n"
    "  caperjunction serve                run one host\n"
    "  caperjunction route                run one host for published routes\n"
    "  caperjunction check PLANS ENTITLEMENTS [HOSTS UPSTREAMS]\n"
    "                                     check the lists\n"
    "  caperjunction explain ID           show the trail of one request\n"
    "  caperjunction status               show one host's view\n"
    "  caperjunction version\n\n"
    "Each flag can also be set in the environment, as "
    "CAPERJUNCTION_<FLAG>;\nthe flag wins.";

bool is_own(absl::CommandLineFlag const& flag)
{
    return absl::StrContains(flag.Filename(), "program/flags.cpp")
           || absl::StrContains(flag.Filename(), "program/routed_flags.cpp");
}

/// Returns the name in `--name`, `--name=value` or `--noname`; empty if `word`
/// is not a flag.
std::string flag_name(std::string const& argument)
{
    std::size_t const start = argument.find_first_not_of('-');
    if (argument.empty() || argument[0] != '-' || start == std::string::npos) {
        return "";
    }
    return argument.substr(start, argument.find('=') - start);
}

/// Returns whether `name` is a help option of the flags library. The library
/// handles these options but defines no flags for them.
bool is_help(std::string const& name)
{
    return name == "help" || name == "helpshort" || name == "helpfull"
           || name == "helppackage" || name == "helpon" || name == "helpmatch";
}

// Checks the flags before absl parses them. absl exits the process with its own
// message, which has no remedy.
void check_names(int argc, char** argv)
{
    for (int index = 1; index < argc; ++index) {
        std::string const argument = argv[index];
        if (argument == "--") {
            return;
        }
        std::string const name = flag_name(argument);
        if (is_help(name)) {
            continue;
        }
        if (!name.empty() && absl::FindCommandLineFlag(name) == nullptr) {
            throw model::error(model::error_kind::bad_settings,
                               absl::StrCat("unknown flag --", name),
                               "see caperjunction --help for the flags");
        }
        std::size_t const equals = argument.find('=');
        if (name.empty() || equals == std::string::npos) {
            continue;
        }
        std::string reason;
        if (!absl::FindCommandLineFlag(name)->ParseFrom(
                argument.substr(equals + 1), &reason)) {
            throw model::error(
                model::error_kind::bad_settings,
                absl::StrCat("--", name, " has an invalid value"),
                reason.empty() ? "see caperjunction --help for its format"
                               : reason);
        }
    }
}

void read_environment()
{
    for (auto const& [name, flag] : absl::GetAllFlags()) {
        if (!is_own(*flag)) {
            continue;
        }
        std::string const variable =
            absl::StrCat("CAPERJUNCTION_", absl::AsciiStrToUpper(name));
        char const* const value = std::getenv(variable.c_str());
        std::string reason;
        if (value != nullptr && !flag->ParseFrom(value, &reason)) {
            throw model::error(model::error_kind::bad_settings,
                               absl::StrCat(variable, " has an invalid value"),
                               reason.empty()
                                   ? "see caperjunction --help for its format"
                                   : reason);
        }
    }
}

// The command line or the environment names the file, and both take precedence
// over its content.
void read_settings_file(int argc, char** argv)
{
    constexpr std::string_view option = "--config=";
    std::string path = absl::GetFlag(FLAGS_config);
    for (int index = 1; index < argc; ++index) {
        std::string_view const argument = argv[index];
        if (argument.substr(0, option.size()) == option) {
            path = argument.substr(option.size());
        }
    }
    if (!path.empty()) {
        // SIGHUP requests a reload of the file. If it arrives before its
        // handler is installed, the default action ends the process.
        std::signal(SIGHUP, SIG_IGN);
        apply_settings_file(path);
        read_environment();
    }
}

void set_up_help()
{
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig config;
    auto const own = [](absl::string_view file) {
        return absl::StrContains(file, "program/flags.cpp")
               || absl::StrContains(file, "program/routed_flags.cpp");
    };
    config.contains_helpshort_flags = own;
    config.contains_help_flags = own;
    config.contains_helppackage_flags = own;
    absl::SetFlagsUsageConfig(config);
}

} // namespace

command_line read_command_line(int argc, char** argv)
{
    set_up_help();
    read_environment();
    read_settings_file(argc, argv);
    check_names(argc, argv);
    std::vector<char*> const positional = absl::ParseCommandLine(argc, argv);
    command_line read;
    for (std::size_t index = 1; index < positional.size(); ++index) {
        if (index == 1) {
            read.command = positional[index];
        } else {
            read.arguments.emplace_back(positional[index]);
        }
    }
    return read;
}

} // namespace caperjunction::program
