#ifndef CAPERJUNCTION_PROXY_LEAVING_NOTICES_HPP
#define CAPERJUNCTION_PROXY_LEAVING_NOTICES_HPP

#include "proxy/message_head.hpp"
#include "proxy/relay_context.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::proxy {

/// Records whether an answer says that its upstream is shutting down. It then
/// gets no more requests, also while the store can't tell.
///
/// Thread safety: the loop's task.
void record_leaving(relay_context& context,
                    routing::upstream_state& from,
                    message_head const& answer);

/// Applies what other hosts report of upstreams that are leaving.
///
/// Thread safety: the loop's task.
void apply_advertised_leaving(relay_context& context);

/// Returns the keys of all upstreams known to be leaving, from whichever host:
/// so the news outlasts the host that was told.
///
/// Thread safety: the loop's task.
std::vector<std::uint64_t> leaving_to_advertise(relay_context const& context);

} // namespace caperjunction::proxy

#endif
