#ifndef CAPERJUNCTION_ROUTING_USABLE_UPSTREAMS_HPP
#define CAPERJUNCTION_ROUTING_USABLE_UPSTREAMS_HPP

#include "model/time.hpp"
#include "routing/pick.hpp"

#include <vector>

namespace caperjunction::routing {

/// Returns those of `all` that may get the request now. Those that are backing
/// off are among them only if there are no others: attempting one of them is
/// better than a refusal. Counts in `out` those that accept none now.
///
/// Thread safety: none; called by the task that owns the upstreams.
std::vector<upstream_ptr> usable_upstreams(std::vector<upstream_ptr> const& all,
                                           pick_request const& request,
                                           model::time_point now,
                                           pick& out);

/// Returns the software that one upstream alone has.
///
/// Thread safety: as above.
std::vector<software> lone_software(std::vector<upstream_ptr> const& usable);

} // namespace caperjunction::routing

#endif
