#include "program/check_command.hpp"

#include "lists/check.hpp"
#include "lists/check_deployment.hpp"
#include "lists/parse.hpp"
#include "lists/parse_hosts.hpp"
#include "lists/parse_upstreams.hpp"
#include "model/error.hpp"

#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace caperjunction::program {
namespace {

constexpr std::size_t lists_only = 2;
constexpr std::size_t with_deployment = 4;

[[noreturn]] void refuse(std::string const& message, std::string const& remedy)
{
    throw model::error(model::error_kind::bad_settings, message, remedy);
}

std::string read_file(std::string const& name)
{
    std::ifstream file(name, std::ios::binary);
    std::ostringstream text;
    // A directory opens like a file and fails only when it is read.
    if (file) {
        text << file.rdbuf();
    }
    if (!file || text.str().empty()) {
        refuse("cannot read " + name + ", or it is empty",
               "check the file name and its permissions");
    }
    return text.str();
}

/// Appends faults of checks across lists, with the list's name replaced by its
/// file name.
void append(std::vector<lists::fault>& faults,
            std::vector<lists::fault> const& found,
            std::vector<std::string> const& files)
{
    for (lists::fault item : found) {
        item.file = item.file == "plans" ? files[0] : files[1];
        faults.push_back(std::move(item));
    }
}

std::vector<lists::fault> find_faults(std::vector<std::string> const& files)
{
    std::vector<lists::fault> faults;
    auto const plans =
        lists::parse_plans(read_file(files[0]), files[0], faults);
    auto const entitlements =
        lists::parse_entitlements(read_file(files[1]), files[1], faults);
    // Without a readable plan list, every name would be reported as undefined.
    bool const is_empty = plans.tiers.empty() && plans.plans.empty();
    if (faults.empty() || !is_empty) {
        append(faults, lists::check(plans, entitlements), files);
    }
    if (files.size() == with_deployment) {
        auto const hosts =
            lists::parse_hosts(read_file(files[2]), files[2], faults);
        auto const upstreams =
            lists::parse_upstreams(read_file(files[3]), files[3], faults);
        append(faults,
               lists::check_deployment(entitlements, hosts, upstreams),
               files);
    }
    return faults;
}

} // namespace

int check_files(std::vector<std::string> const& files)
{
    if (files.size() != lists_only && files.size() != with_deployment) {
        refuse("check requires two or four files",
               "run caperjunction check PLANS ENTITLEMENTS [HOSTS UPSTREAMS]");
    }
    auto const faults = find_faults(files);
    for (lists::fault const& item : faults) {
        fmt::print(
            "{}:{}: {}; {}\n", item.file, item.path, item.message, item.remedy);
    }
    if (faults.empty()) {
        fmt::print("no faults found\n");
    }
    return faults.empty() ? 0 : 1;
}

} // namespace caperjunction::program
