#ifndef CAPERJUNCTION_PROXY_SOCKET_OPTIONS_HPP
#define CAPERJUNCTION_PROXY_SOCKET_OPTIONS_HPP

#include "proxy/connection_end.hpp"

namespace caperjunction::proxy {

/// Sets what each connection needs. Thread safety: any thread.
void set_no_delay(int socket);

/// Ends a connection whose other side acknowledges nothing for some time, for
/// connections to upstreams: nothing else tells that one has lost power.
///
/// Not for callers: one that reads nothing for a while, or whose link is full,
/// is alive, and its request's deadline ends it anyhow. Thread safety: any
/// thread.
void set_unacknowledged_timeout(int socket);

/// How a connection whose call failed with this `errno` ended. Thread
/// safety: any thread.
connection_end classify_socket_error(int failure);

} // namespace caperjunction::proxy

#endif
