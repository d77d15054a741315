#include "proxy/socket_options.hpp"

#include "runtime/log_line.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <string_view>
#include <utility>

namespace caperjunction::proxy {
namespace {

/// Time for which sent bytes may stay unacknowledged. A host that lost power
/// never answers, and without the limit its connection hangs for minutes. A
/// sound upstream may be silent for a second or two. If keep-alive probes are
/// ever sent, this limit also ends them, whatever their count.
constexpr int unacknowledged_ms = 3'000;

bool set_option(int socket, int level, int name, int value)
{
    return setsockopt(socket, level, name, &value, sizeof value) == 0;
}

// A system that refuses an option does so for each connection: the first one is
// enough.
void log_refused(std::string_view option, bool& was_logged)
{
    int const failure = errno;
    if (!std::exchange(was_logged, true)) {
        runtime::log_line("socket_option_refused")
            .field("option", option)
            .field("why", std::strerror(failure));
    }
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
    static bool s_was_logged = false;
    if (!set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms)) {
        log_refused("TCP_USER_TIMEOUT", s_was_logged);
    }
}

void set_reset_on_close(int socket)
{
    static bool s_was_logged = false;
    linger const at_once{1, 0};
    if (setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once)
        != 0) {
        log_refused("SO_LINGER", s_was_logged);
    }
}

int take_socket_error(int socket)
{
    int failure = 0;
    socklen_t size = sizeof failure;
    if (getsockopt(socket, SOL_SOCKET, SO_ERROR, &failure, &size) != 0) {
        return errno;
    }
    return failure;
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
