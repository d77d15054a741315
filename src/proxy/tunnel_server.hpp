#ifndef CAPERJUNCTION_PROXY_TUNNEL_SERVER_HPP
#define CAPERJUNCTION_PROXY_TUNNEL_SERVER_HPP

#include "proxy/relay_context.hpp"
#include "proxy/tunnel.hpp"

#include <cstdint>
#include <map>
#include <memory>

struct evconnlistener;

namespace caperjunction::proxy {

/// Connects hosts that have lost their links to upstreams with these. The other
/// host decides about its requests; this one forwards bytes to upstreams that
/// it knows itself.
///
/// Thread safety: none; owned by the loop's task.
class tunnel_server
{
public:
    /// \throws model::error (bad_settings) if the address is not available.
    explicit tunnel_server(relay_context& context);
    ~tunnel_server();
    tunnel_server(tunnel_server const&) = delete;
    tunnel_server& operator=(tunnel_server const&) = delete;

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void serve(int socket);

    relay_context& m_context;
    evconnlistener* m_listener = nullptr;
    std::uint16_t m_port = 0;
    std::map<tunnel const*, std::shared_ptr<tunnel>> m_tunnels;
};

} // namespace caperjunction::proxy

#endif
