#ifndef CAPERJUNCTION_PROXY_PART_CRASHES_HPP
#define CAPERJUNCTION_PROXY_PART_CRASHES_HPP

#include "proxy/broken_attempt.hpp"
#include "proxy/relay_context.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::proxy {

/// Records a broken attempt. If its upstream then refuses connections, it has
/// crashed: that is evidence against the parts, and other hosts are told. One
/// that accepts a connection has broken off this answer alone.
///
/// Thread safety: the loop's task.
void record_broken_attempt(relay_context& context,
                           broken_attempt const& attempt);

/// Finds the upstreams among those of unanswered attempts that have ended
/// without having said that they would: that is evidence as well. Must be
/// called several times a second.
///
/// Thread safety: the loop's task.
void record_ended_upstreams(relay_context& context);

/// Records this host's unanswered attempts at an upstream that has crashed, as
/// another host has seen. `start` as `routing::start_key`.
///
/// Thread safety: the loop's task.
void record_unanswered_at(relay_context& context,
                          routing::upstream_crash const& seen);

/// Returns whether any of these parts was in flight at a break of which it
/// isn't known yet whether the upstream has crashed.
///
/// Thread safety: the loop's task.
bool awaits_result(relay_context const& context,
                   std::vector<routing::shared_part> const& parts);

/// Records that an upstream with software `version` has written an answer that
/// began at `began_at`, and tells other hosts if they suspect its parts.
///
/// Thread safety: the loop's task.
void record_answered_parts(relay_context& context,
                           std::vector<routing::shared_part> const& parts,
                           std::uint64_t version,
                           model::time_point began_at);

} // namespace caperjunction::proxy

#endif
