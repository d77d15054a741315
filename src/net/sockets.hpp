#ifndef CAPERJUNCTION_NET_SOCKETS_HPP
#define CAPERJUNCTION_NET_SOCKETS_HPP

#include <cstddef>

struct evhttp_connection;
struct evhttp_request;

namespace caperjunction::net {

/// Turns off the delay by which TCP gathers small writes: with it, a token
/// may wait some 40 ms for an acknowledgement, a whole target between tokens.
void set_no_delay(evhttp_connection* connection);

/// Whether the connection has come about.
bool is_connected(evhttp_connection* connection);

/// Writes what can be written of an answer right now, without waiting for
/// the loop to find the socket writable: one call of the system for a token
/// in place of four.
void flush_output(evhttp_request* request);

/// Bytes of an answer that wait for its receiver.
std::size_t unsent_bytes(evhttp_request* request);

} // namespace caperjunction::net

#endif
