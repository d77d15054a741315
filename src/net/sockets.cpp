#include "net/sockets.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
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

void send_at_once(evhttp_connection* connection)
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

std::size_t unsent_bytes(evhttp_request* request)
{
    return evbuffer_get_length(
        bufferevent_get_output(evhttp_connection_get_bufferevent(
            evhttp_request_get_connection(request))));
}

} // namespace caperjunction::net
