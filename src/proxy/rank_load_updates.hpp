#ifndef CAPERJUNCTION_PROXY_RANK_LOAD_UPDATES_HPP
#define CAPERJUNCTION_PROXY_RANK_LOAD_UPDATES_HPP

#include "proxy/relay_context.hpp"

#include <vector>

namespace caperjunction::proxy {

// Prompts by urgency as hosts exchange them. Nothing is sent or changed without
// the setting `forecast_by_urgency`. Thread safety: none; called by the loop's
// task.

/// Returns the entries that this host adds to its loads in a digest.
std::vector<routing::peer_load>
rank_loads_to_advertise(relay_context const& context);

/// Adds up the prompts of all hosts for each service with engines. Must be
/// called once per digest period, after the digests were aggregated.
void update_rank_loads(relay_context& context);

} // namespace caperjunction::proxy

#endif
