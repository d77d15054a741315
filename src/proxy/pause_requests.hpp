#ifndef CAPERJUNCTION_PROXY_PAUSE_REQUESTS_HPP
#define CAPERJUNCTION_PROXY_PAUSE_REQUESTS_HPP

#include "proxy/message_head.hpp"
#include "proxy/relay_context.hpp"

#include <optional>
#include <vector>

namespace caperjunction::proxy {

/// Records how long the upstream of a rejection wants no request from this
/// host. `through` is the host in between, if there was one: to the upstream
/// the two are one host.
///
/// Thread safety: the loop's task.
void record_pause_request(relay_context& context,
                          routing::upstream_state& from,
                          message_head const& answer,
                          std::optional<model::endpoint> const& through);

/// Applies the pauses that upstreams have asked this host for in answers to
/// hosts that it connects to them.
///
/// Thread safety: the loop's task.
void apply_peer_pauses(relay_context& context);

/// Returns the pauses that hosts at the other ends of tunnels must know of.
///
/// Thread safety: the loop's task.
std::vector<routing::advertised_pause>
pauses_to_advertise(relay_context const& context);

} // namespace caperjunction::proxy

#endif
