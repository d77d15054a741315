#ifndef CAPERJUNCTION_PROXY_TUNNEL_CANDIDATES_HPP
#define CAPERJUNCTION_PROXY_TUNNEL_CANDIDATES_HPP

#include "proxy/relay_context.hpp"
#include "routing/home_regions.hpp"
#include "routing/tunnel_choice.hpp"

#include <vector>

namespace caperjunction::proxy {

/// Returns the hosts of `homes` that may connect this one to an upstream. Hosts
/// that send no digests are asked only if no other one reaches it.
///
/// Thread safety: the loop's task.
std::vector<routing::tunnel_candidate>
tunnel_candidates(relay_context const& context,
                  routing::home_regions const& homes,
                  routing::upstream_state const& to);

/// Returns whether the tunnels at `peer` are among the candidates.
bool contains(std::vector<routing::tunnel_candidate> const& list,
              model::endpoint const& peer);

/// Returns whether there are hosts to go through, and the upstream has asked
/// all of them to send nothing now. \pre The link to it is lost.
///
/// Thread safety: the loop's task.
bool is_paused_on_way(relay_context const& context,
                      routing::home_regions const& homes,
                      routing::upstream_state const& to);

/// Records that no tunnel could be had from a host.
///
/// Thread safety: the loop's task.
void record_tunnel_failure(relay_context& context, model::endpoint const& peer);

/// Records that a host could not connect this one to an upstream.
///
/// Thread safety: the loop's task.
void record_detour_failure(relay_context& context,
                           routing::upstream_state& state,
                           model::endpoint const& peer);

} // namespace caperjunction::proxy

#endif
