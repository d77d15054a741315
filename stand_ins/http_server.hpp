#ifndef CAPERJUNCTION_STAND_INS_HTTP_SERVER_HPP
#define CAPERJUNCTION_STAND_INS_HTTP_SERVER_HPP

#include "model/endpoint.hpp"
#include "stand_ins/exchange.hpp"

#include <event2/event.h>

#include <functional>
#include <memory>

namespace caperjunction::stand_ins {

/// Listens on one address and hands each request to a handler.
///
/// Thread safety: none; everything happens on the event_base's thread.
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<exchange>)>;

    /// Port 0 lets the kernel choose.
    /// \pre base outlives the server.
    /// \throws model::error if the address is taken or not of this machine.
    http_server(event_base* base, model::endpoint const& listen, handler each);

    /// The address it listens on, with the port that the kernel chose.
    model::endpoint const& address() const
    {
        return m_address;
    }

    /// Stops taking connections and closes those that are open.
    void close();

private:
    static void handle(evhttp_request* request, void* self);

    std::unique_ptr<evhttp, decltype(&evhttp_free)> m_http;
    model::endpoint m_address;
    handler m_handler;
};

} // namespace caperjunction::stand_ins

#endif
