#ifndef CAPERJUNCTION_ROUTING_STOP_RULE_HPP
#define CAPERJUNCTION_ROUTING_STOP_RULE_HPP

#include "model/time.hpp"

#include <algorithm>

namespace caperjunction::routing {

/// Time until the balancer notices that a host is not ready: two health checks
/// one second apart, and requests already in transit.
constexpr model::milliseconds balancer_lag{3'000};

/// Maximum delay of the signal's timestamp on a busy host.
constexpr model::milliseconds signal_delay{100};

/// Reserved for writing the last answers before the process is killed.
constexpr model::milliseconds final_write_time{250};

/// Returns whether a host accepts a request that arrives `since_signal` after
/// the stop signal. A request that may outlast the process would be cut off. If
/// it is refused, it has not run and its caller may use another host.
///
/// \pre No argument is negative.
/// Thread safety: any thread.
inline bool accepts_new_request(model::milliseconds since_signal,
                                model::milliseconds stop_limit,
                                model::milliseconds max_duration)
{
    // While the balancer still sends callers here, all requests are accepted:
    // most answers take far less time than their timeout.
    return since_signal < std::min(balancer_lag - signal_delay, stop_limit / 2)
           || since_signal + max_duration + final_write_time < stop_limit;
}

} // namespace caperjunction::routing

#endif
