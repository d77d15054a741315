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

/// The name in `--name`, `--name=value` or `--noname`; empty for a word that
/// is no flag.
std::string flag_name(std::string const& word)
{
    std::size_t const start = word.find_first_not_of('-');
    if (word.empty() || word[0] != '-' || start == std::string::npos) {
        return "";
    }
    return word.substr(start, word.find('=') - start);
}

/// The flags library's own words; it knows them but has no flags for them.
bool is_help(std::string const& name)
{
    return name == "help" || name == "helpshort" || name == "helpfull"
           || name == "helppackage" || name == "helpon" || name == "helpmatch";
}

// The flags library would end the process with a line of its own; here the
// error says what to do.
void check_names(int count, char** words)
{
    for (int index = 1; index < count; ++index) {
        std::string const word = words[index];
        if (word == "--") {
            return;
        }
        std::string const name = flag_name(word);
        if (is_help(name)) {
            continue;
        }
        if (!name.empty() && absl::FindCommandLineFlag(name) == nullptr) {
            throw model::error(model::error_kind::bad_settings,
                               absl::StrCat("there is no flag --", name),
                               "see caperjunction --help for the flags");
        }
        std::size_t const equals = word.find('=');
        if (name.empty() || equals == std::string::npos) {
            continue;
        }
        std::string reason;
        if (!absl::FindCommandLineFlag(name)->ParseFrom(word.substr(equals + 1),
                                                        &reason)) {
            throw model::error(model::error_kind::bad_settings,
                               absl::StrCat("--", name, " has a bad value"),
                               reason.empty()
                                   ? "see caperjunction --help for its form"
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
                               absl::StrCat(variable, " has a bad value"),
                               reason.empty()
                                   ? "see caperjunction --help for its form"
                                   : reason);
        }
    }
}

// The file is named by the command line or the environment, and both go
// before what it says.
void read_settings_file(int count, char** words)
{
    constexpr std::string_view option = "--config=";
    std::string path = absl::GetFlag(FLAGS_config);
    for (int index = 1; index < count; ++index) {
        std::string_view const word = words[index];
        if (word.substr(0, option.size()) == option) {
            path = word.substr(option.size());
        }
    }
    if (!path.empty()) {
        // The signal to read the file anew may come before its handler is
        // set up, and would end the process.
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

command_line read_command_line(int count, char** words)
{
    set_up_help();
    read_environment();
    read_settings_file(count, words);
    check_names(count, words);
    std::vector<char*> const rest = absl::ParseCommandLine(count, words);
    command_line read;
    for (std::size_t index = 1; index < rest.size(); ++index) {
        if (index == 1) {
            read.command = rest[index];
        } else {
            read.arguments.emplace_back(rest[index]);
        }
    }
    return read;
}

} // namespace caperjunction::program
