#ifndef CAPERJUNCTION_FLEET_ORDER_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_ORDER_SETTINGS_HPP

#include "model/time.hpp"

#include <cstdint>
#include <string>

namespace caperjunction::fleet {

/// Times and limits of orders. Times are equal on all hosts of a fleet.
struct order_settings
{
    std::string host;
    std::uint64_t generation = 0;

    /// A longer gap between two events means that the process was paused.
    model::milliseconds pause_limit{2'000};
    /// How long after the last confirmation of the list an order may be sent to
    /// an engine that ignores fencing numbers.
    model::milliseconds lease{10'000};
    /// Maximum delivery time of an order; its connection is closed after that.
    model::milliseconds delivery_timeout{5'000};
    /// How long a new orderer sends nothing to an engine that ignores fencing
    /// numbers. The previous orderer must have stopped by then.
    ///
    /// \pre above `lease` plus `delivery_timeout`.
    model::milliseconds takeover_delay{30'000};
    /// Minimum time between two orders to one engine. Loading takes tens of
    /// seconds, and oscillating demand must not keep an engine loading.
    model::milliseconds min_order_interval{60'000};
    /// Time after which a request that isn't repeated expires.
    model::milliseconds request_lifetime{120'000};
    /// Model loads per minute of the whole fleet that the weights store
    /// supports; each host uses an equal share.
    double loads_per_minute = 6.0;
};

} // namespace caperjunction::fleet

#endif
