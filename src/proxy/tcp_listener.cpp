#include "proxy/tcp_listener.hpp"

#include "model/error.hpp"
#include "proxy/socket_address.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace caperjunction::proxy {
namespace {

/// Connections that may wait to be accepted. When the queue is full, the SYN of
/// the next connection is dropped and retransmitted after a second.
constexpr int backlog = 1'024;

} // namespace

evconnlistener* listen_on(runtime::event_loop& loop,
                          model::endpoint const& at,
                          std::string_view flag,
                          evconnlistener_cb on_accepted,
                          void* argument)
{
    sockaddr_in address = listen_address(at, flag);
    evconnlistener* const made = evconnlistener_new_bind(
        loop.base(),
        on_accepted,
        argument,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog,
        reinterpret_cast<sockaddr*>(&address),
        sizeof address);
    if (made == nullptr) {
        throw model::error(
            model::error_kind::bad_settings,
            fmt::format("cannot listen on {}:{}", at.address, at.port),
            fmt::format("free that port or choose another with --{}", flag));
    }
    return made;
}

std::uint16_t port_of(evconnlistener* listener)
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(evconnlistener_get_fd(listener),
                reinterpret_cast<sockaddr*>(&bound),
                &size);
    return ntohs(bound.sin_port);
}

} // namespace caperjunction::proxy
