#include "net/sockets.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace caperjunction::net {
namespace {

int socket_of(evhttp_connection* connection)
{
    return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}

} // namespace

void set_no_delay(evhttp_connection* connection)
{
    int const on = 1;
    setsockopt(socket_of(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

bool is_connected(evhttp_connection* connection)
{
    sockaddr_storage peer{};
    socklen_t size = sizeof peer;
    return getpeername(
               socket_of(connection), reinterpret_cast<sockaddr*>(&peer), &size)
           == 0;
}

void flush_output(evhttp_request* request)
{
    evhttp_connection* const connection =
        evhttp_request_get_connection(request);
    bufferevent* const stream = evhttp_connection_get_bufferevent(connection);
    evbuffer* const output = bufferevent_get_output(stream);
    // A bufferevent freezes its output buffer against draining by other code.
    // Unfreezing is safe here: this is the bufferevent's own thread, between
    // two of its writes.
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, socket_of(connection));
    evbuffer_freeze(output, 1);
    if (evbuffer_get_length(output) == 0) {
        // No output is left for the loop; the next write enables EV_WRITE
        // again.
        bufferevent_disable(stream, EV_WRITE);
    }
}

std::size_t unsent_bytes(evhttp_request* request)
{
    return evbuffer_get_length(
        bufferevent_get_output(evhttp_connection_get_bufferevent(
            evhttp_request_get_connection(request))));
}

} // namespace caperjunction::net
