#ifndef CAPERJUNCTION_ROUTING_STOP_RULE_HPP
#define CAPERJUNCTION_ROUTING_STOP_RULE_HPP

#include "model/time.hpp"

#include <algorithm>

namespace caperjunction::routing {

/// Time in which the balancer notices that a host is not ready: two questions
/// a second apart, and what is on its way by then.
constexpr model::milliseconds balancer_lag{3'000};

/// By how much the signal's delivery may be stamped late on a busy host.
constexpr model::milliseconds signal_delay{100};

/// Left for writing the last answers before the process is ended by force.
constexpr model::milliseconds final_write_time{250};

/// Whether a request that comes `since_signal` after the signal to stop is
/// still taken. One that may outlast the process would be cut off in the
/// middle; refused, it has not run, and its caller tries another host.
///
/// \pre No time is negative. Thread safety: any thread.
inline bool accepts_new_request(model::milliseconds since_signal,
                                model::milliseconds stop_limit,
                                model::milliseconds longest)
{
    // While the balancer still sends callers here, all are served: most
    // answers are far shorter than their timeout.
    return since_signal < std::min(balancer_lag - signal_delay, stop_limit / 2)
           || since_signal + longest + final_write_time < stop_limit;
}

} // namespace caperjunction::routing

#endif
