#ifndef CAPERJUNCTION_BENCH_DEPLOYMENTS_HPP
#define CAPERJUNCTION_BENCH_DEPLOYMENTS_HPP

#include "bench/policy_bench/deployment.hpp"

namespace caperjunction::bench {

/// Wine shops: short urgent questions and reservations above campaign
/// summaries above long allocation letters.
deployment make_kitanomine();

/// Plant shows: stewards' lookups and entry bookings above exhibitors'
/// questions above whole schedules.
deployment make_gangasagar();

} // namespace caperjunction::bench

#endif
