#include "runtime/log_line.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace caperjunction;

namespace {

std::string format_field(std::string const& value)
{
    std::string line;
    runtime::set_log_sink([&line](std::string_view text) {
        line = text;
    });
    runtime::log_line("test").field("key", value);
    return line.substr(line.find("event="));
}

} // namespace

// A caller sends a line break and a forged pair in a header that is logged.
// Without escaping, the forged line looks like a line of the router.
TEST_CASE("a value cannot inject a line or a pair")
{
    CHECK(format_field("a\nevent=forged")
          == R"(event=test key="a\x0aevent=forged")");
    CHECK(format_field("a\" b=c") == R"(event=test key="a\" b=c")");
    CHECK(format_field("plain") == "event=test key=plain");
    CHECK(format_field("") == R"(event=test key="")");
}
