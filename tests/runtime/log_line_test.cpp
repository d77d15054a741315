#include "runtime/log_line.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace caperjunction;

namespace {

std::string logged(std::string const& value)
{
    std::string line;
    runtime::set_log_sink([&line](std::string_view text) {
        line = text;
    });
    runtime::log_line("test").field("key", value);
    return line.substr(line.find("event="));
}

} // namespace

// A caller puts a line break and a forged pair into a header that is logged.
// Whoever reads the log would take the forged line for the router's own.
TEST_CASE("a value cannot begin a line or a pair of its own")
{
    CHECK(logged("a\nevent=forged") == R"(event=test key="a\x0aevent=forged")");
    CHECK(logged("a\" b=c") == R"(event=test key="a\" b=c")");
    CHECK(logged("plain") == "event=test key=plain");
    CHECK(logged("") == R"(event=test key="")");
}
