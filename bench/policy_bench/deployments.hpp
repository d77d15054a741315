#ifndef CAPERJUNCTION_BENCH_DEPLOYMENTS_HPP
#define CAPERJUNCTION_BENCH_DEPLOYMENTS_HPP

#include "bench/policy_bench/deployment.hpp"

namespace caperjunction::bench {

/// Wine shops. Tiers from high to low: short urgent questions and reservations,
/// campaign summaries, long allocation letters.
deployment make_kitanomine();

/// Plant shows. Tiers from high to low: stewards' lookups and entry bookings,
/// exhibitors' questions, whole schedules.
deployment make_gangasagar();

} // namespace caperjunction::bench

#endif
