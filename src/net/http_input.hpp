#ifndef CAPERJUNCTION_NET_HTTP_INPUT_HPP
#define CAPERJUNCTION_NET_HTTP_INPUT_HPP

#include "lists/catalogue.hpp"
#include "net/exchange.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

struct evhttp_bound_socket;
struct evhttp_request;

namespace caperjunction::net {

/// Path below /services/, split at the service name.
struct service_path
{
    std::string service;
    /// Path and query for the service, starting with a slash.
    std::string rest;
};

std::string header_of(evhttp_request* request, char const* name);

/// Returns path and query as sent.
std::string uri_of(evhttp_request* request);

/// Returns the path without the query.
std::string path_of(evhttp_request* request);

/// Returns the method's name; "POST" for unsupported methods.
std::string method_of(evhttp_request* request);

/// Returns the body.
/// \throws model::error (too_large) above `limit` bytes.
std::string body_of(evhttp_request* request, std::size_t limit);

std::uint16_t port_of(evhttp_bound_socket* socket);

/// \throws model::error (not_found) if no service is named.
service_path split_service_path(std::string_view uri);

/// Checks that the caller may make this call, and records in `created` whether
/// it may be repeated.
///
/// \throws model::error (not_found, not_entitled, bad_request).
void check_service_call(lists::catalogue const& catalogue,
                        lists::identity const& identity,
                        exchange& created);

} // namespace caperjunction::net

#endif
