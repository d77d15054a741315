#ifndef CAPERJUNCTION_ROUTING_WATCH_WAIT_HPP
#define CAPERJUNCTION_ROUTING_WATCH_WAIT_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstddef>

namespace caperjunction::routing {

/// What the wait of a watch depends on.
struct watch_inputs
{
    model::milliseconds key_lifetime{5'000};
    /// Within it a published change has to be in force.
    model::milliseconds apply_limit{2'500};
    /// Other hosts that are heard.
    std::size_t peers = 0;
    /// A few hosts watch for all.
    bool is_shared = false;
};

/// How long a watch waits for a change; `draw` is evenly spread over 0 to 1.
///
/// The end of a wait confirms the keys. After an outage of the store all hosts
/// begin anew together, and if each then waited for the same time, all their
/// beliefs would be equally old when the next outage begins, and keys would be
/// refused sooner. Spread, some host's belief is young, and the others hear of
/// it.
inline model::milliseconds watch_wait(watch_inputs const& inputs,
                                      double random_value)
{
    // After a watch that is lost there is time for two more before keys are
    // refused.
    constexpr double alone = 0.4;
    // A fleet needs one confirmation in time, not one from each host.
    constexpr std::size_t some_peers = 3;
    // Those that watch for others confirm often enough that these needn't
    // look themselves.
    constexpr double shared = 0.33;
    using real_ms = std::chrono::duration<double, std::milli>;
    real_ms const longest = inputs.key_lifetime * alone;
    if (inputs.is_shared) {
        real_ms const told =
            std::min(longest, real_ms(inputs.apply_limit * shared));
        return std::chrono::duration_cast<model::milliseconds>(
            told * (0.5 + random_value / 2));
    }
    double const spread =
        inputs.peers < some_peers ? 1.0 - random_value / 4 : 0.5 + random_value;
    return std::chrono::duration_cast<model::milliseconds>(longest * spread);
}

} // namespace caperjunction::routing

#endif
