#include "house/source_tree.hpp"

#include <doctest/doctest.h>

#include <cctype>

using namespace caperjunction;

namespace {

using names = std::set<std::string>;

/// The part of the operators' page under one heading.
std::string page_section(std::string const& heading)
{
    std::string const page = house::read_text("docs/OPERATING.md");
    std::size_t const begin = page.find("\n## " + heading + '\n');
    REQUIRE(begin != std::string::npos);
    return page.substr(begin, page.find("\n## ", begin + 1) - begin);
}

/// The names in the first column of that part's table.
names page_names(std::string const& heading)
{
    return house::find_all(page_section(heading), "\n\\| `(?:--)?(\\w+)` \\|");
}

names in_sources(char const* expression)
{
    names found;
    for (house::source_file const& file : house::read_sources("src")) {
        found.merge(house::find_all(file.text, expression));
    }
    return found;
}

names in_described(char const* expression)
{
    return house::find_all(house::read_text("src/program/described.cpp"),
                           expression);
}

void check_within(names const& inner, names const& outer, char const* message)
{
    CHECK(!inner.empty());
    for (std::string const& name : inner) {
        CAPTURE(name);
        CHECK_MESSAGE(outer.count(name) == 1, message);
    }
}

void check_same(names const& code, names const& page)
{
    check_within(code, page, "is not on docs/OPERATING.md");
    check_within(page, code, "is on docs/OPERATING.md and not in src");
}

} // namespace

TEST_CASE("the operators' page names the flags that there are")
{
    check_same(in_sources("ABSL_FLAG\\(\\s*[\\w:<>]+,\\s*(\\w+),"),
               page_names("Flags"));
}

TEST_CASE("the operators' page names each flag's twin in the environment")
{
    names twins;
    for (std::string twin : page_names("Flags")) {
        for (char& c : twin) {
            c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        }
        twins.insert(twin);
    }
    check_same(twins,
               house::find_all(page_section("Flags"),
                               "\\| `CAPERJUNCTION_(\\w+)` \\|"));
}

TEST_CASE("the operators' page names the log events that there are")
{
    names events =
        in_sources("log_line(?:\\s+const)?(?:\\s+\\w+)?\\(\\s*\"(\\w+)\"");
    events.merge(in_described("return \\{\\s*\"(\\w+)\","));
    events.merge(in_sources("return \"(host_\\w+)\";"));
    check_same(events, page_names("Log events"));
}

TEST_CASE("the operators' page names the keys of log events that there are")
{
    names keys = in_sources("\\.field\\(\\s*\"(\\w+)\"");
    keys.merge(in_described("(?:\\{|\n *)\\{\"(\\w+)\","));
    check_same(keys, page_names("Log keys"));
}

TEST_CASE("the operators' page names the metrics that there are")
{
    check_same(in_sources("\"(caperjunction_[a-z_]+)\""),
               page_names("Metrics"));
}
