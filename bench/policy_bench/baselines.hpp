#ifndef CAPERJUNCTION_BENCH_BASELINES_HPP
#define CAPERJUNCTION_BENCH_BASELINES_HPP

#include "bench/policy_bench/policy.hpp"

namespace caperjunction::bench {

/// Uses the upstreams in rotation; engines process requests in order of
/// arrival.
policy make_round_robin(decide::router_settings const& settings);

/// Uses the upstream with the fewest outstanding requests of this host; engines
/// process requests in order of arrival.
policy make_least_outstanding(decide::router_settings const& settings);

/// Like `make_least_outstanding`, but engines always process the highest tier
/// first.
policy make_strict_priority(decide::router_settings const& settings);

} // namespace caperjunction::bench

#endif
