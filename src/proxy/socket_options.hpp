#ifndef CAPERJUNCTION_PROXY_SOCKET_OPTIONS_HPP
#define CAPERJUNCTION_PROXY_SOCKET_OPTIONS_HPP

#include "proxy/connection_end.hpp"

namespace caperjunction::proxy {

/// Disables Nagle's algorithm. Thread safety: any thread.
void set_no_delay(int socket);

/// Makes the system end a connection whose peer acknowledges nothing for some
/// time. For connections to upstreams: without it, an upstream that lost power
/// is not detected.
///
/// Not for callers: a caller that reads nothing for a while, or whose link is
/// saturated, is alive, and its request's deadline ends the connection in any
/// case. Thread safety: any thread.
void set_unacknowledged_timeout(int socket);

/// Maps the `errno` of a failed socket call to the way in which the connection
/// ended. Thread safety: any thread.
connection_end classify_socket_error(int failure);

} // namespace caperjunction::proxy

#endif
