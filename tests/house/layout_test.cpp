#include "house/source_tree.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>
#include <map>

using namespace caperjunction;

namespace {

/// Folders of src that each folder may include; see docs/DESIGN.md for the
/// reasons.
std::map<std::string, std::set<std::string>> const allowed_includes{
    {"model", {"model"}},
    {"lists", {"model", "lists"}},
    {"decide", {"model", "lists", "decide"}},
    {"fleet", {"model", "lists", "fleet"}},
    {"runtime", {"model", "runtime"}},
    {"net", {"model", "lists", "decide", "fleet", "runtime", "net"}},
    {"program",
     {"model",
      "lists",
      "decide",
      "fleet",
      "runtime",
      "net",
      "routing",
      "proxy",
      "platform",
      "program"}},
    {"routing", {"model", "routing"}},
    {"proxy", {"model", "routing", "runtime", "proxy"}}};

/// Returns the folder below src, e.g. lists for src/lists/parse.cpp.
std::string folder_of(std::string const& path)
{
    auto const begin = path.find('/') + 1;
    auto const end = path.find('/', begin);
    return end == std::string::npos ? "" : path.substr(begin, end - begin);
}

std::string expected_guard(std::string const& path)
{
    constexpr std::size_t prefix = 4;
    std::string guard =
        path.compare(0, prefix, "src/") == 0 ? path.substr(prefix) : path;
    std::transform(guard.begin(), guard.end(), guard.begin(), [](char c) {
        bool const is_alphanumeric =
            std::isalnum(static_cast<unsigned char>(c)) != 0;
        return is_alphanumeric ? static_cast<char>(std::toupper(c)) : '_';
    });
    return "CAPERJUNCTION_" + guard;
}

} // namespace

TEST_CASE("folders include only their allowed dependencies")
{
    std::size_t include_count = 0;
    for (house::source_file const& file : house::read_sources("src")) {
        std::string const folder = folder_of(file.path);
        if (folder.empty()) {
            continue;
        }
        CAPTURE(file.path);
        REQUIRE(allowed_includes.count(folder) == 1);
        for (std::string const& included :
             house::find_all(file.text, "#include \"([a-z_]+)/[^\"]+\"")) {
            CAPTURE(included);
            CHECK(allowed_includes.at(folder).count(included) == 1);
            ++include_count;
        }
    }
    CHECK(include_count > 0);
}

TEST_CASE("decide, fleet and routing use no socket, clock, thread or log")
{
    for (char const* const folder :
         {"src/decide", "src/fleet", "src/routing"}) {
        for (house::source_file const& file : house::read_sources(folder)) {
            CAPTURE(file.path);
            CHECK(house::find_all(file.text,
                                  "#include <(event2/[^>]*|thread|mutex|"
                                  "iostream|sys/[^>]*)>")
                      .empty());
            CHECK(house::find_all(file.text, "(_clock::now\\(|log_line)")
                      .empty());
        }
    }
}

TEST_CASE("the include guard of each header matches its path")
{
    for (char const* const root : {"src", "stand_ins", "platform"}) {
        for (house::source_file const& file : house::read_sources(root)) {
            if (file.path.find(".hpp") == std::string::npos) {
                continue;
            }
            CAPTURE(file.path);
            std::string const guard = expected_guard(file.path);
            CHECK(file.text.find("#ifndef " + guard + '\n')
                  != std::string::npos);
        }
    }
}

// A header is copied and keeps its include guard. A file that includes both
// gets only the first, and the compiler reports undeclared names far from the
// cause.
TEST_CASE("include guards are unique")
{
    std::set<std::string> guards;
    for (char const* const root :
         {"src", "stand_ins", "bench", "tests", "platform"}) {
        for (house::source_file const& file : house::read_sources(root)) {
            for (std::string const& guard :
                 house::find_all(file.text, "#ifndef (CAPERJUNCTION_\\w+)")) {
                CAPTURE(file.path);
                CHECK(guards.insert(guard).second);
            }
        }
    }
    CHECK(!guards.empty());
}

TEST_CASE("no file is longer than 300 lines")
{
    constexpr std::ptrdiff_t max_lines = 300;
    for (char const* const root : {"src", "stand_ins", "bench", "platform"}) {
        for (house::source_file const& file : house::read_sources(root)) {
            CAPTURE(file.path);
            CHECK(std::count(file.text.begin(), file.text.end(), '\n')
                  <= max_lines);
        }
    }
}
