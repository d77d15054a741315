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
/// case. Logs the first refusal by the system: without the option, only the
/// timeouts of requests bound such a connection. Thread safety: the loop's.
void set_unacknowledged_timeout(int socket);

/// Makes `close` reset the connection, so that what was sent doesn't look
/// complete. Logs the first refusal by the system. Thread safety: the loop's.
void set_reset_on_close(int socket);

/// Returns the error with which a connection attempt ended, zero if it
/// succeeded. An error that can't be read is one. Thread safety: any thread.
int take_socket_error(int socket);

/// Maps the `errno` of a failed socket call to the way in which the connection
/// ended. Thread safety: any thread.
connection_end classify_socket_error(int failure);

} // namespace caperjunction::proxy

#endif
