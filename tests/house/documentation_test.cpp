#include "house/source_tree.hpp"

#include <doctest/doctest.h>

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
    for (house::source_file const& file : house::read_sources("src/program")) {
        found.merge(house::find_all(file.text, expression));
    }
    return found;
}

void check_named(names const& code, names const& page)
{
    CHECK(!code.empty());
    for (std::string const& name : code) {
        CAPTURE(name);
        CHECK_MESSAGE(page.count(name) == 1, "is not on docs/OPERATING.md");
    }
}

} // namespace

TEST_CASE("the operators' page names the flags that there are")
{
    check_named(in_sources("ABSL_FLAG\\(\\s*[\\w:<>]+,\\s*(\\w+),"),
                page_names("Flags"));
}

TEST_CASE("the operators' page names the log events that there are")
{
    names events =
        in_sources("log_line(?:\\s+const)?(?:\\s+\\w+)?\\(\\s*\"(\\w+)\"");
    events.merge(house::find_all(house::read_text("src/program/described.cpp"),
                                 "return \\{\\s*\"(\\w+)\","));
    events.merge(in_sources("return \"(host_\\w+)\";"));
    check_named(events, page_names("Log events"));
}

TEST_CASE("the operators' page names the metrics that there are")
{
    check_named(in_sources("\"(caperjunction_[a-z_]+)\""),
                page_names("Metrics"));
}
