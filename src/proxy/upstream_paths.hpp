#ifndef CAPERJUNCTION_PROXY_UPSTREAM_PATHS_HPP
#define CAPERJUNCTION_PROXY_UPSTREAM_PATHS_HPP

#include "proxy/relay_context.hpp"
#include "proxy/upstream_pool.hpp"
#include "routing/home_regions.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::proxy {

/// Returns whether this host reaches an upstream itself, as far as it knows.
///
/// Thread safety: the loop's task.
bool reaches_upstreams(relay_context const& context);

/// Returns the keys of upstreams that other hosts can't reach through this one.
///
/// Thread safety: the loop's task.
std::vector<std::uint32_t>
lost_links_to_advertise(relay_context const& context);

/// Returns how a request that only `homes` may serve reaches an upstream now:
/// directly, or, while this host's link to it is lost, through another host.
/// `random_value` selects among equal hosts.
///
/// Thread safety: the loop's task.
upstream_path path_to_upstream(relay_context const& context,
                               routing::home_regions const& homes,
                               routing::upstream_state const& to,
                               std::uint64_t random_value);

/// Records that a direct connection to an upstream was established.
///
/// Thread safety: the loop's task.
void record_connected(relay_context& context, routing::upstream_state& state);

/// Records that no direct connection to an upstream could be established, and
/// seeks a way around the link.
///
/// Thread safety: the loop's task.
void record_unreachable(relay_context& context, routing::upstream_state& state);

/// Probes the links to upstreams if that is due, and closes idle connections
/// that are of no more use.
///
/// Thread safety: the loop's task.
void sweep_paths(relay_context& context);

} // namespace caperjunction::proxy

#endif
