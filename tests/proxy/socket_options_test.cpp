#include "proxy/socket_options.hpp"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

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
