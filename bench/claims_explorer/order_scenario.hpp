#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ORDER_SCENARIO_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ORDER_SCENARIO_HPP

#include "fleet/order_settings.hpp"
#include "model/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>

namespace caperjunction::claims_explorer {

/// Parameters that are the same in all histories of engine orders.
struct order_scenario
{
    /// Whether the engine rejects outdated fencing numbers.
    bool checks_fencing = false;
    /// Settings of every host, except for its name and generation. Callers set
    /// `loads_per_minute` so high that it does not limit the search.
    fleet::order_settings settings;
    /// Clock jumps: past the lease, past the takeover delay.
    std::array<model::milliseconds, 2> leaps{std::chrono::seconds(12),
                                             std::chrono::seconds(40)};
    /// Interval between two ticks of a host that is not paused.
    model::milliseconds tick{1'500};
};

} // namespace caperjunction::claims_explorer

#endif
