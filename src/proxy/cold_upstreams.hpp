#ifndef CAPERJUNCTION_PROXY_COLD_UPSTREAMS_HPP
#define CAPERJUNCTION_PROXY_COLD_UPSTREAMS_HPP

#include "model/time.hpp"
#include "proxy/relay_context.hpp"

#include <string>

namespace caperjunction::proxy {

// All functions run on the loop's task.

/// Records that `state` is cold for `remaining` more, as its entry states.
void record_cold(relay_context& context,
                 routing::upstream_state& state,
                 model::milliseconds remaining);

/// Records that all engines of a data centre may have been restarted unnoticed
/// and are cold for as long as their services state.
void record_cold_data_centre(relay_context& context,
                             std::string const& data_centre);

/// Applies the configuration's limits, and this host's current share of each,
/// to all cold engines.
void apply_cold_limits(relay_context& context);

} // namespace caperjunction::proxy

#endif
