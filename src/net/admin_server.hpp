#ifndef CAPERJUNCTION_NET_ADMIN_SERVER_HPP
#define CAPERJUNCTION_NET_ADMIN_SERVER_HPP

#include "model/endpoint.hpp"
#include "runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

struct evhttp;
struct evhttp_request;

namespace caperjunction::net {

/// Response of the admin server.
struct admin_answer
{
    int status = 200;
    std::string content_type = "text/plain; charset=utf-8";
    std::string body;
};

/// HTTP server for operators: liveness, readiness, metrics, status, explain.
///
/// Thread safety: none; owned by one task.
class admin_server
{
public:
    /// Returns the answer; `id` is the query parameter (empty if absent).
    using route = std::function<admin_answer(std::string const& id)>;

    /// \throws model::error (bad_settings) if the address cannot be bound.
    admin_server(runtime::event_loop& loop, model::endpoint const& listen);
    ~admin_server();
    admin_server(admin_server const&) = delete;
    admin_server& operator=(admin_server const&) = delete;

    void serve(std::string const& path, route answer);

    std::uint16_t port() const
    {
        return m_port;
    }

private:
    void handle(evhttp_request* request);

    evhttp* m_server = nullptr;
    std::uint16_t m_port = 0;
    std::map<std::string, route> m_routes;
};

} // namespace caperjunction::net

#endif
