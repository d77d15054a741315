#ifndef CAPERJUNCTION_NET_HTTP_SINK_HPP
#define CAPERJUNCTION_NET_HTTP_SINK_HPP

#include "net/caller_sink.hpp"

#include <functional>

struct evhttp_request;

namespace caperjunction::net {

/// Creates a sink for a caller's connection. `before_end` is called right
/// before the end of an answer is sent, because the connection then continues
/// with its next request.
caller_sink make_http_sink(evhttp_request* caller,
                           std::function<void()> const& before_end);

} // namespace caperjunction::net

#endif
