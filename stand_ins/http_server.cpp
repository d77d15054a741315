#include "stand_ins/http_server.hpp"

#include "model/error.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <chrono>
#include <utility>

namespace caperjunction::stand_ins {
namespace {

// Long enough that no watch or stalled stream of a test is closed as idle.
constexpr std::chrono::seconds idle_timeout{3600};

std::uint16_t port_of(evutil_socket_t socket)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &size);
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

} // namespace

http_server::http_server(event_base* base,
                         model::endpoint const& listen,
                         handler on_request)
    : m_http(evhttp_new(base), &evhttp_free)
    , m_address(listen)
    , m_handler(std::move(on_request))
{
    evhttp_set_allowed_methods(m_http.get(),
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                   | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD
                                   | EVHTTP_REQ_PATCH);
    evhttp_set_timeout(m_http.get(), static_cast<int>(idle_timeout.count()));
    evhttp_set_gencb(m_http.get(), &http_server::handle, this);
    evhttp_bound_socket* const bound = evhttp_bind_socket_with_handle(
        m_http.get(), listen.address.c_str(), listen.port);
    if (bound == nullptr) {
        throw model::error(model::error_kind::bad_settings,
                           "cannot listen on " + listen.address + ':'
                               + std::to_string(listen.port),
                           "specify a free port on a local address");
    }
    m_address.port = port_of(evhttp_bound_socket_get_fd(bound));
}

void http_server::close()
{
    m_http.reset();
}

void http_server::handle(evhttp_request* request, void* self)
{
    auto* const that = static_cast<http_server*>(self);
    that->m_handler(std::make_shared<exchange>(request));
}

} // namespace caperjunction::stand_ins
