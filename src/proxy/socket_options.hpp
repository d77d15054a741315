#ifndef CAPERJUNCTION_PROXY_SOCKET_OPTIONS_HPP
#define CAPERJUNCTION_PROXY_SOCKET_OPTIONS_HPP

#include "proxy/stream_end.hpp"

namespace caperjunction::proxy {

/// Sets what each connection needs. Thread safety: any thread.
void prepare_socket(int socket);

/// How a connection whose call failed with this `errno` ended. Thread
/// safety: any thread.
stream_end end_of(int failure);

} // namespace caperjunction::proxy

#endif
