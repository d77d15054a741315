#include "proxy/tunnel_server.hpp"

#include "proxy/tcp_listener.hpp"

#include <event2/listener.h>

#include <utility>

namespace caperjunction::proxy {

tunnel_server::tunnel_server(relay_context& context)
    : m_context(context)
{
    m_listener = listen_on(
        context.loop,
        context.settings.tunnel_listen,
        "tunnel_listen",
        [](evconnlistener*,
           evutil_socket_t socket,
           sockaddr*,
           int,
           void* self) {
            static_cast<tunnel_server*>(self)->serve(socket);
        },
        this);
    m_port = port_of(m_listener);
}

tunnel_server::~tunnel_server()
{
    evconnlistener_free(m_listener);
    for (auto const& [key, item] : std::exchange(m_tunnels, {})) {
        item->close();
    }
}

void tunnel_server::serve(int socket)
{
    auto const made =
        std::make_shared<tunnel>(m_context, [this](tunnel const* ended) {
            m_tunnels.erase(ended);
            m_context.open_tunnels = m_tunnels.size();
        });
    m_tunnels.emplace(made.get(), made);
    m_context.open_tunnels = m_tunnels.size();
    made->serve(socket);
}

} // namespace caperjunction::proxy
