#include "proxy/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace caperjunction::proxy {
namespace {

/// Time for which sent bytes may stay unacknowledged. A host that lost power
/// never answers, and without the limit its connection hangs for minutes. A
/// sound upstream may be silent for a second or two. If keep-alive probes are
/// ever sent, this limit also ends them, whatever their count.
constexpr int unacknowledged_ms = 3'000;

void set_option(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void set_no_delay(int socket)
{
    // Small writes must not wait for an acknowledgement, which takes some 40
    // ms.
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

void set_unacknowledged_timeout(int socket)
{
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms);
}

connection_end classify_socket_error(int failure)
{
    switch (failure) {
    case ECONNRESET:
    case EPIPE:
        return connection_end::reset;
    case ETIMEDOUT:
        return connection_end::unacknowledged;
    default:
        return connection_end::broken;
    }
}

} // namespace caperjunction::proxy
