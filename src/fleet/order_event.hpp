#ifndef CAPERJUNCTION_FLEET_ORDER_EVENT_HPP
#define CAPERJUNCTION_FLEET_ORDER_EVENT_HPP

#include "fleet/order.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::fleet {

/// The platform's list of hosts is in force: names of those that stay.
struct order_hosts_listed
{
    std::uint64_t revision = 0;
    std::vector<std::string> hosts;
};

/// The list in force was the platform's newest at `as_of`.
struct order_hosts_confirmed
{
    model::time_point as_of{};
};

/// What the orderer needs to know of an engine.
struct ordered_engine
{
    std::string name;
    /// Whether it refuses an order that carries an old fencing number.
    bool checks_fencing = false;
    std::vector<std::string> models;
};

/// The platform lists these engines, or they report other models now.
struct order_engines_listed
{
    std::vector<ordered_engine> engines;
};

/// A wish of this host's router, or one that a peer forwarded.
struct order_requested
{
    order_request request;
    /// A forwarded wish goes no further: two hosts whose lists differ would
    /// else send it to and fro.
    bool forwarded = false;
};

enum class order_end : std::uint8_t
{
    done,
    /// The engine has seen a higher number: another host orders it.
    outdated,
    failed,
    /// `orderer::may_send` said no, and nothing was sent.
    not_sent,
};

struct order_ended
{
    std::string engine;
    order_end end = order_end::failed;
};

/// This host is about to stop; it orders no more.
struct order_stop_planned
{
};

/// Time has passed.
struct order_tick
{
};

/// Everything that an orderer can be told.
using order_event = std::variant<order_hosts_listed,
                                 order_hosts_confirmed,
                                 order_engines_listed,
                                 order_requested,
                                 order_ended,
                                 order_stop_planned,
                                 order_tick>;

} // namespace caperjunction::fleet

#endif
