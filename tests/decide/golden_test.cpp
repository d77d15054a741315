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

std::filesystem::path const golden_folder =
    std::filesystem::path(SOURCE_ROOT) / "tests/decide/golden";

std::string read(std::filesystem::path const& path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

// A missing file counts as empty, so that a new session fails until its
// decisions have been reviewed and stored.
TEST_CASE("recorded sessions replay to the recorded decisions")
{
    std::size_t sessions = 0;
    for (auto const& session_file :
         std::filesystem::directory_iterator(golden_folder)) {
        if (session_file.path().extension() != ".events") {
            continue;
        }
        ++sessions;
        std::filesystem::path expected = session_file.path();
        expected.replace_extension(".decisions");
        INFO(session_file.path().filename().string());
        std::string const decisions = decide::replay(read(session_file.path()));
        CHECK(decisions == read(expected));
        CHECK_FALSE(decisions.empty());
    }
    CHECK(sessions >= 5);
}

TEST_CASE("an unreadable session is reported with its line")
{
    CHECK_THROWS_WITH_AS(decide::replay("0 lists\nsoon tick\n"),
                         "line 2: missing time or verb",
                         model::error);
    CHECK_THROWS_AS(decide::replay("0 dance\n"), model::error);
    CHECK_THROWS_AS(decide::replay("0 arrive id=many\n"), model::error);
    CHECK_THROWS_AS(decide::replay("0 end id=1 how=well\n"), model::error);
}
