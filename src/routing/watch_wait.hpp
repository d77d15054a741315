#ifndef CAPERJUNCTION_ROUTING_WATCH_WAIT_HPP
#define CAPERJUNCTION_ROUTING_WATCH_WAIT_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstddef>

namespace caperjunction::routing {

/// Inputs of the duration of a store watch.
struct watch_inputs
{
    model::milliseconds key_lifetime{5'000};
    /// Time within which a published change must be in force.
    model::milliseconds apply_limit{2'500};
    /// Other live hosts.
    std::size_t peers = 0;
    /// A few hosts watch the store for all.
    bool is_shared = false;
};

/// Returns how long a watch waits for a change; `random_value` is uniformly
/// distributed over 0..1.
///
/// The end of a watch renews the key lease. After an outage of the store all
/// hosts start their watches together. If each waited for the same time, all
/// leases would have the same age when the next outage begins, and keys would
/// be refused sooner. With random durations, some host has a recent
/// confirmation, and the others receive it.
inline model::milliseconds watch_wait(watch_inputs const& inputs,
                                      double random_value)
{
    // After a lost watch there is time for two more before keys are refused.
    constexpr double lifetime_share = 0.4;
    // A fleet needs one confirmation in time, not one from each host.
    constexpr std::size_t min_peers_to_spread = 3;
    // Store watchers confirm often enough that the other hosts need not watch
    // the store themselves.
    constexpr double apply_limit_share = 0.33;
    using real_ms = std::chrono::duration<double, std::milli>;
    real_ms const base_wait = inputs.key_lifetime * lifetime_share;
    if (inputs.is_shared) {
        real_ms const period = std::min(
            base_wait, real_ms(inputs.apply_limit * apply_limit_share));
        return std::chrono::duration_cast<model::milliseconds>(
            period * (0.5 + random_value / 2));
    }
    double const spread = inputs.peers < min_peers_to_spread
                              ? 1.0 - random_value / 4
                              : 0.5 + random_value;
    return std::chrono::duration_cast<model::milliseconds>(base_wait * spread);
}

} // namespace caperjunction::routing

#endif
