#ifndef CAPERJUNCTION_NET_SOCKETS_HPP
#define CAPERJUNCTION_NET_SOCKETS_HPP

#include <cstddef>

struct evhttp_connection;
struct evhttp_request;

namespace caperjunction::net {

/// Sets TCP_NODELAY. Without it, a token may wait about 40 ms for an
/// acknowledgement, which is as long as the target time between tokens.
void set_no_delay(evhttp_connection* connection);

/// Returns whether the connection is established.
bool is_connected(evhttp_connection* connection);

/// Writes pending output of an answer immediately, without waiting until the
/// event loop reports the socket as writable. This takes one system call per
/// token instead of four.
void flush_output(evhttp_request* request);

/// Returns the bytes of an answer that are buffered for its receiver.
std::size_t unsent_bytes(evhttp_request* request);

} // namespace caperjunction::net

#endif
