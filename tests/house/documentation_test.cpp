#include "house/source_tree.hpp"

#include <doctest/doctest.h>

#include <cctype>

using namespace caperjunction;

namespace {

using names = std::set<std::string>;

/// Returns the section of the operators' page under one heading.
std::string page_section(std::string const& heading)
{
    std::string const page = house::read_text("docs/OPERATING.md");
    std::size_t const begin = page.find("\n## " + heading + '\n');
    REQUIRE(begin != std::string::npos);
    return page.substr(begin, page.find("\n## ", begin + 1) - begin);
}

/// Returns the names in the first column of the section's table.
names page_names(std::string const& heading)
{
    return house::find_all(page_section(heading), "\n\\| `(?:--)?(\\w+)` \\|");
}

names find_in_sources(char const* expression)
{
    names found;
    for (house::source_file const& file : house::read_sources("src")) {
        found.merge(house::find_all(file.text, expression));
    }
    return found;
}

names find_in_described(char const* expression)
{
    return house::find_all(house::read_text("src/program/described.cpp"),
                           expression);
}

void check_subset(names const& subset,
                  names const& superset,
                  char const* message)
{
    CHECK(!subset.empty());
    for (std::string const& name : subset) {
        CAPTURE(name);
        CHECK_MESSAGE(superset.count(name) == 1, message);
    }
}

void check_equal(names const& code, names const& page)
{
    check_subset(code, page, "is not listed in docs/OPERATING.md");
    check_subset(
        page, code, "is listed in docs/OPERATING.md but not found in src");
}

} // namespace

TEST_CASE("the operators' page lists exactly the existing flags")
{
    check_equal(find_in_sources("ABSL_FLAG\\(\\s*[\\w:<>]+,\\s*(\\w+),"),
                page_names("Flags"));
}

TEST_CASE("the operators' page lists each flag's environment variable")
{
    names variables;
    for (std::string variable : page_names("Flags")) {
        for (char& c : variable) {
            c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        }
        variables.insert(variable);
    }
    check_equal(variables,
                house::find_all(page_section("Flags"),
                                "\\| `CAPERJUNCTION_(\\w+)` \\|"));
}

TEST_CASE("the operators' page lists exactly the existing log events")
{
    names events =
        find_in_sources("log_line(?:\\s+const)?(?:\\s+\\w+)?\\(\\s*\"(\\w+)\"");
    events.merge(find_in_described("return \\{\\s*\"(\\w+)\","));
    events.merge(find_in_sources("return \"(host_\\w+)\";"));
    check_equal(events, page_names("Log events"));
}

TEST_CASE("the operators' page lists exactly the existing log keys")
{
    names keys = find_in_sources("\\.field\\(\\s*\"(\\w+)\"");
    keys.merge(find_in_described("(?:\\{|\n *)\\{\"(\\w+)\","));
    check_equal(keys, page_names("Log keys"));
}

TEST_CASE("the operators' page lists exactly the existing metrics")
{
    check_equal(find_in_sources("\"(caperjunction_[a-z_]+)\""),
                page_names("Metrics"));
}
