#ifndef CAPERJUNCTION_PROXY_PART_TRIALS_HPP
#define CAPERJUNCTION_PROXY_PART_TRIALS_HPP

#include "proxy/relay_context.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::proxy {

/// Records the claim, the begin or the end of a trial of this host, and tells
/// the others. `claim` as for `routing::poison_parts::begin_trial`.
///
/// Thread safety: the loop's task.
void claim_trial(relay_context& context,
                 std::vector<routing::shared_part> const& parts,
                 std::uint32_t claim);
void begin_trial(relay_context& context,
                 std::vector<routing::shared_part> const& parts,
                 routing::upstream_state const& at,
                 std::uint32_t claim = 0);
void end_trial(relay_context& context,
               std::vector<routing::shared_part> const& parts);

} // namespace caperjunction::proxy

#endif
