#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ORDER_SCENARIO_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_ORDER_SCENARIO_HPP

#include "fleet/order_settings.hpp"
#include "model/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>

namespace caperjunction::claims_explorer {

/// What stays the same in all histories of an engine's orders.
struct order_scenario
{
    /// Whether the engine refuses old fencing numbers.
    bool checks_fencing = false;
    /// Names, processes and store's rate aside, those of every host.
    fleet::order_settings settings;
    /// Past the lease, past the quiet time.
    std::array<model::milliseconds, 2> leaps{std::chrono::seconds(12),
                                             std::chrono::seconds(40)};
    /// Between two ticks of a host that doesn't sleep.
    model::milliseconds tick{1'500};
};

} // namespace caperjunction::claims_explorer

#endif
