#include "decide/replay.hpp"
#include "model/error.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace caperjunction;

namespace {

std::filesystem::path const folder =
    std::filesystem::path(SOURCE_ROOT) / "tests/decide/golden";

std::string read(std::filesystem::path const& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

// A file that is missing counts as empty, so that a new session can't pass
// before its decisions have been looked at and written down.
TEST_CASE("recorded sessions give the recorded decisions")
{
    std::size_t sessions = 0;
    for (auto const& file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".events") {
            continue;
        }
        ++sessions;
        std::filesystem::path expected = file.path();
        expected.replace_extension(".decisions");
        INFO(file.path().filename().string());
        std::string const made = decide::replay(read(file.path()));
        CHECK(made == read(expected));
        CHECK_FALSE(made.empty());
    }
    CHECK(sessions >= 5);
}

TEST_CASE("a session that can't be read names the line and the remedy")
{
    CHECK_THROWS_WITH_AS(decide::replay("0 lists\nsoon tick\n"),
                         "line 2: no time and verb",
                         model::error);
    CHECK_THROWS_AS(decide::replay("0 dance\n"), model::error);
    CHECK_THROWS_AS(decide::replay("0 arrive id=many\n"), model::error);
    CHECK_THROWS_AS(decide::replay("0 end id=1 how=well\n"), model::error);
}
