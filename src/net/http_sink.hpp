#ifndef CAPERJUNCTION_NET_HTTP_SINK_HPP
#define CAPERJUNCTION_NET_HTTP_SINK_HPP

#include "net/caller_sink.hpp"

#include <functional>

struct evhttp_request;

namespace caperjunction::net {

/// A sink to a caller's connection. `before_end` is called right before an
/// answer's end is sent: after it the connection goes on to its next request.
caller_sink make_http_sink(evhttp_request* caller,
                           std::function<void()> const& before_end);

} // namespace caperjunction::net

#endif
