#ifndef CAPERJUNCTION_ROUTING_PLACEMENT_COST_HPP
#define CAPERJUNCTION_ROUTING_PLACEMENT_COST_HPP

#include "model/time.hpp"
#include "routing/pick.hpp"
#include "routing/picker_settings.hpp"
#include "routing/upstream_state.hpp"

#include <vector>

namespace caperjunction::routing {

// The terms of the cost that a picker minimizes, as fractions of the value of a
// request. All functions are pure.

/// Returns the cost of a first event after `forecast_ms`.
double lateness(picker_settings const& weights,
                double forecast_ms,
                model::milliseconds target);

/// Returns the cost of reading one shared token again: between the idle and the
/// behind cost, by the average delay of the engines.
double cost_of_uncached_token(picker_settings const& weights,
                              std::vector<upstream_ptr> const& usable,
                              model::milliseconds target);

/// Returns how long, in milliseconds, a most urgent stream is expected to wait
/// for a slot. Less urgent requests release theirs.
///
/// Since the loads were reported, about as many streams have begun as ended.
/// The difference is uncertain, and only an excess causes a wait: close to the
/// last slot a wait is likely before the report shows an excess.
double slot_wait_ms(picker_settings const& weights,
                    upstream_state const& candidate,
                    model::milliseconds load_age);

/// Returns how close the longest gap of an engine is to the maximum of the
/// route: 0 up to a safe share of it, 1 at the maximum.
double gap_share(pick_request const& request,
                 model::milliseconds longest_gap,
                 picker_settings const& weights);

} // namespace caperjunction::routing

#endif
