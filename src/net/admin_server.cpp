#include "net/admin_server.hpp"

#include "model/error.hpp"
#include "model/limits.hpp"
#include "net/http_input.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>

#include <utility>

namespace caperjunction::net {
namespace {

constexpr int timeout_s = 10;

std::string query_id(evhttp_request* request)
{
    evhttp_uri const* const uri = evhttp_request_get_evhttp_uri(request);
    char const* const query =
        uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
    if (query == nullptr) {
        return "";
    }
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query, &pairs) != 0) {
        return "";
    }
    char const* const value = evhttp_find_header(&pairs, "id");
    std::string id = value == nullptr ? "" : value;
    evhttp_clear_headers(&pairs);
    return id;
}

} // namespace

admin_server::admin_server(runtime::event_loop& loop,
                           model::endpoint const& listen)
    : m_server(evhttp_new(loop.base()))
{
    evhttp_set_timeout(m_server, timeout_s);
    evhttp_set_max_headers_size(m_server, model::limits::max_header_bytes);
    evhttp_set_max_body_size(m_server, model::limits::max_header_bytes);
    evhttp_set_gencb(
        m_server,
        [](evhttp_request* request, void* self) {
            static_cast<admin_server*>(self)->handle(request);
        },
        this);
    evhttp_bound_socket* const socket = evhttp_bind_socket_with_handle(
        m_server, listen.address.c_str(), listen.port);
    if (socket == nullptr) {
        evhttp_free(m_server);
        throw model::error(
            model::error_kind::bad_settings,
            fmt::format("cannot listen on {}:{}", listen.address, listen.port),
            "free that port or choose another with --admin_listen");
    }
    m_port = port_of(socket);
}

admin_server::~admin_server()
{
    evhttp_free(m_server);
}

void admin_server::serve(std::string const& path, route answer)
{
    m_routes[path] = std::move(answer);
}

void admin_server::handle(evhttp_request* request)
{
    auto const found = m_routes.find(path_of(request));
    admin_answer const answer =
        found == m_routes.end()
            ? admin_answer{404,
                           "text/plain",
                           "nothing is served at this path\n"}
            : found->second(query_id(request));
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type",
                      answer.content_type.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request),
                 answer.body.data(),
                 answer.body.size());
    evhttp_send_reply(request, answer.status, nullptr, nullptr);
}

} // namespace caperjunction::net
