#ifndef CAPERJUNCTION_STAND_INS_HTTP_SERVER_HPP
#define CAPERJUNCTION_STAND_INS_HTTP_SERVER_HPP

#include "model/endpoint.hpp"
#include "stand_ins/exchange.hpp"

#include <event2/event.h>

#include <functional>
#include <memory>

namespace caperjunction::stand_ins {

/// Listens on one address and passes each request to a handler.
///
/// Thread safety: none; used on the event_base's thread only.
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;

    /// Port 0 selects a free port.
    /// \pre base outlives the server.
    /// \throws model::error if the address is in use or not local.
    http_server(event_base* base,
                model::endpoint const& listen,
                handler on_request);

    /// Returns the listening address with the actual port.
    model::endpoint const& address() const
    {
        return m_address;
    }

    /// Stops listening and closes all connections.
    void close();

private:
    static void handle(evhttp_request* request, void* self);

    std::unique_ptr<evhttp, decltype(&evhttp_free)> m_http;
    model::endpoint m_address;
    handler m_handler;
};

} // namespace caperjunction::stand_ins

#endif
