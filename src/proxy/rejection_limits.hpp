#ifndef CAPERJUNCTION_PROXY_REJECTION_LIMITS_HPP
#define CAPERJUNCTION_PROXY_REJECTION_LIMITS_HPP

#include "proxy/message_head.hpp"
#include "proxy/relay_context.hpp"

namespace caperjunction::proxy {

/// Records what an answer says about the rejections that its upstream bears.
/// The upstreams of a service get such a limit together.
///
/// Thread safety: the loop's task.
void record_rejection_limit(relay_context& context,
                            routing::upstream_state& from,
                            message_head const& answer);

/// Updates this host's shares of upstreams with such a limit.
///
/// Thread safety: the loop's task.
void apply_rejection_limits(relay_context& context);

} // namespace caperjunction::proxy

#endif
