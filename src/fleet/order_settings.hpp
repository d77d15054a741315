#ifndef CAPERJUNCTION_FLEET_ORDER_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_ORDER_SETTINGS_HPP

#include "model/time.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::fleet {

/// How engines are ordered. Times are equal on all hosts of a fleet.
struct order_settings
{
    std::string host;
    std::uint64_t generation = 0;

    /// A longer gap between two events means that the process slept.
    model::milliseconds pause_limit{2'000};
    /// How long after the list was last confirmed an order may still leave
    /// for an engine that ignores fencing numbers.
    model::milliseconds lease{10'000};
    /// How long an order may be on its way to an engine; its connection is
    /// closed after that.
    model::milliseconds delivery_timeout{5'000};
    /// How long a new orderer holds back from an engine that ignores fencing
    /// numbers: the one before must have stopped for certain.
    ///
    /// \pre above `lease` plus `flight`.
    model::milliseconds takeover_delay{30'000};
    /// Least time between two orders to one engine: loading costs it tens of
    /// seconds, and a load that swings must not keep it loading.
    model::milliseconds min_order_interval{60'000};
    /// A wish that isn't repeated is void after that.
    model::milliseconds request_lifetime{120'000};
    /// Loads a minute that the weights store bears from the whole fleet;
    /// each host takes an equal share.
    double loads_per_minute = 6.0;
};

} // namespace caperjunction::fleet

#endif
