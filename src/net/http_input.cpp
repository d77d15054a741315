#include "net/http_input.hpp"

#include "model/error.hpp"
#include "model/limits.hpp"
#include "net/paths.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace caperjunction::net {
namespace {

struct method_name
{
    evhttp_cmd_type type;
    char const* name;
};

constexpr std::array<method_name, 5> method_names{{
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_PATCH, "PATCH"},
}};

lists::service_call const* find_call(lists::service_entry const& service,
                                     exchange const& created)
{
    for (lists::service_call const& call : service.calls) {
        if (call.method == created.method
            && created.path.rfind(call.path_prefix, 0) == 0) {
            return &call;
        }
    }
    return nullptr;
}

void check_key(exchange const& created)
{
    if (created.idempotency_key.empty()) {
        throw model::error(
            model::error_kind::bad_request,
            "this call may run only once and carries no Idempotency-Key",
            "send an Idempotency-Key header, the same one on every resend");
    }
    if (created.idempotency_key.size()
        > model::limits::max_idempotency_key_length) {
        throw model::error(model::error_kind::bad_request,
                           "the Idempotency-Key is too long",
                           "use at most 255 characters");
    }
}

} // namespace

std::string header_of(evhttp_request* request, char const* name)
{
    char const* const value =
        evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value == nullptr ? "" : value;
}

std::string uri_of(evhttp_request* request)
{
    char const* const uri = evhttp_request_get_uri(request);
    return uri == nullptr ? "" : uri;
}

std::string path_of(evhttp_request* request)
{
    std::string const uri = uri_of(request);
    return uri.substr(0, uri.find('?'));
}

std::string method_of(evhttp_request* request)
{
    for (method_name const& entry : method_names) {
        if (entry.type == evhttp_request_get_command(request)) {
            return entry.name;
        }
    }
    return "POST";
}

std::string body_of(evhttp_request* request, std::size_t limit)
{
    evbuffer* const input = evhttp_request_get_input_buffer(request);
    std::size_t const size = evbuffer_get_length(input);
    if (size > limit) {
        throw model::error(model::error_kind::too_large,
                           "the body has more than " + std::to_string(limit)
                               + " bytes",
                           "send a shorter request");
    }
    std::string body(size, '\0');
    evbuffer_copyout(input, body.data(), size);
    return body;
}

std::uint16_t port_of(evhttp_bound_socket* socket)
{
    sockaddr_storage bound{};
    socklen_t size = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(socket),
                reinterpret_cast<sockaddr*>(&bound),
                &size);
    if (bound.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
}

service_path split_service_path(std::string_view uri)
{
    std::string_view const after = uri.substr(paths::services.size());
    std::size_t const end = after.find_first_of("/?");
    service_path path;
    path.service = after.substr(0, end);
    if (end != std::string_view::npos) {
        path.rest = after.substr(end);
    }
    if (path.rest.empty() || path.rest.front() != '/') {
        path.rest.insert(0, 1, '/');
    }
    if (path.service.empty()) {
        throw model::error(model::error_kind::not_found,
                           "the path names no service",
                           "use /services/NAME/...");
    }
    return path;
}

void check_service_call(lists::catalogue const& catalogue,
                        lists::identity const& identity,
                        exchange& created)
{
    std::string const& name = created.request.service;
    lists::service_entry const* const service = catalogue.find_service(name);
    if (service == nullptr) {
        throw model::error(
            model::error_kind::not_found,
            "there is no service of this name",
            "ask your operator which services the plan includes");
    }
    auto const* const allowed = identity.entitlement;
    if (allowed == nullptr
        || std::find(allowed->services.begin(), allowed->services.end(), name)
               == allowed->services.end()) {
        throw model::error(model::error_kind::not_entitled,
                           "the plan does not include this service",
                           "ask your operator for another plan");
    }
    lists::service_call const* const call = find_call(*service, created);
    // A call that the list doesn't name may be a booking. Without an
    // Idempotency-Key, a retry could execute it twice.
    created.request.repeatable = call != nullptr && call->repeatable;
    if (!created.request.repeatable) {
        check_key(created);
    }
    created.request.fingerprint = XXH3_64bits_withSeed(
        created.body.data(),
        created.body.size(),
        XXH3_64bits(created.path.data(), created.path.size()));
}

} // namespace caperjunction::net
