#ifndef CAPERJUNCTION_PROXY_LIMIT_NOTICES_HPP
#define CAPERJUNCTION_PROXY_LIMIT_NOTICES_HPP

#include "proxy/message_head.hpp"
#include "proxy/relay_context.hpp"

#include <vector>

namespace caperjunction::proxy {

/// Updates the request limit of `from` from one of its answers to this host.
/// Only an answer to a request that `from` has run can end a limit.
void record_limit(relay_context& context,
                  routing::upstream_state& from,
                  message_head const& answer);

/// Applies the limits that other hosts advertise, and this host's current share
/// of each limit.
void apply_advertised_limits(relay_context& context);

/// Returns the limits that this host received from upstreams itself, to
/// advertise to other hosts.
std::vector<routing::advertised_limit>
limits_to_advertise(relay_context const& context);

} // namespace caperjunction::proxy

#endif
