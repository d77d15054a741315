#include "proxy/socket_options.hpp"

#include "runtime/log_line.hpp"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>
#include <vector>

using namespace caperjunction;

namespace {

int option_of(int socket, int level, int name)
{
    int value = -1;
    socklen_t size = sizeof value;
    getsockopt(socket, level, name, &value, &size);
    return value;
}

} // namespace

// Guards against connections to a sound upstream that are given up because it
// was silent for a second or so.
TEST_CASE("connections outlive an upstream's silence of two seconds")
{
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    proxy::set_unacknowledged_timeout(socket);
    int const limit_ms = option_of(socket, IPPROTO_TCP, TCP_USER_TIMEOUT);
    CHECK(limit_ms > 2'000);
    // Without end, connections to a host that lost power would hang.
    CHECK(limit_ms < 10'000);
    CHECK(option_of(socket, SOL_SOCKET, SO_KEEPALIVE) == 0);
    close(socket);
}

// A system that refuses the options leaves connections without a bound, and
// broken answers that look complete. Nothing else shows it.
TEST_CASE("the first refusal of a socket option is logged, and no other")
{
    std::vector<std::string> lines;
    runtime::set_log_sink([&lines](std::string_view line) {
        lines.emplace_back(line);
    });
    constexpr int no_socket = -1;
    for (int attempt = 0; attempt < 3; ++attempt) {
        proxy::set_unacknowledged_timeout(no_socket);
        proxy::set_reset_on_close(no_socket);
    }
    runtime::set_log_sink([](std::string_view) {});
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].find("event=socket_option_refused option=TCP_USER_TIMEOUT")
          != std::string::npos);
    CHECK(lines[1].find("option=SO_LINGER") != std::string::npos);
}

// A connection whose error can't be read was taken for one that stands.
TEST_CASE("an error of a connection that can't be read is an error")
{
    constexpr int no_socket = -1;
    CHECK(proxy::take_socket_error(no_socket) != 0);
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    CHECK(proxy::take_socket_error(socket) == 0);
    close(socket);
}
