#ifndef CAPERJUNCTION_PROXY_PART_CRASHES_HPP
#define CAPERJUNCTION_PROXY_PART_CRASHES_HPP

#include "proxy/relay_context.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace caperjunction::proxy {

/// An attempt that its upstream broke off before it had written for long.
struct broken_attempt
{
    routing::upstream_ptr upstream;
    /// Host through which it went; no value: directly.
    std::optional<model::endpoint> peer;
    std::vector<routing::shared_part> parts;
    /// Parts of which it was the trial.
    std::vector<routing::shared_part> tried;
    model::time_point sent_at{};
    /// The upstream had begun to answer.
    bool has_begun = false;
    /// The upstream had accepted a connection for it.
    bool has_connected = false;
};

/// Records a broken attempt. If its upstream then refuses connections, it has
/// crashed: that is evidence against the parts, and other hosts are told. One
/// that accepts a connection has broken off this answer alone.
///
/// Thread safety: the loop's task.
void record_broken_attempt(relay_context& context,
                           broken_attempt const& attempt);

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

/// Records the begin or the end of a trial of this host, and tells the others.
///
/// Thread safety: the loop's task.
void begin_trial(relay_context& context,
                 std::vector<routing::shared_part> const& parts,
                 routing::upstream_state const& at);
void end_trial(relay_context& context,
               std::vector<routing::shared_part> const& parts);

} // namespace caperjunction::proxy

#endif
