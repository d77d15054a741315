#ifndef CAPERJUNCTION_FLEET_ORDER_EVENT_HPP
#define CAPERJUNCTION_FLEET_ORDER_EVENT_HPP

#include "fleet/order.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::fleet {

/// The platform's list of hosts in force: names of the hosts that aren't
/// leaving.
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

/// Properties of an engine that the orderer needs.
struct ordered_engine
{
    std::string name;
    /// Whether it refuses orders with an outdated fencing number.
    bool checks_fencing = false;
    std::vector<std::string> models;
};

/// The platform's engines and the models they report; sent on every change.
struct order_engines_listed
{
    std::vector<ordered_engine> engines;
};

/// A request of this host's router, or one forwarded by a peer.
struct order_requested
{
    order_request request;
    /// A forwarded request is not forwarded again: two hosts with different
    /// lists would otherwise send it back and forth.
    bool forwarded = false;
};

enum class order_end : std::uint8_t
{
    done,
    /// The engine has seen a higher number: another host is its orderer.
    outdated,
    failed,
    /// `orderer::may_send` returned false, and nothing was sent.
    not_sent,
};

struct order_ended
{
    std::string engine;
    order_end end = order_end::failed;
};

/// This host is about to stop; it sends no more orders.
struct order_stop_planned
{
};

/// Time has passed.
struct order_tick
{
};

/// Every input of an orderer.
using order_event = std::variant<order_hosts_listed,
                                 order_hosts_confirmed,
                                 order_engines_listed,
                                 order_requested,
                                 order_ended,
                                 order_stop_planned,
                                 order_tick>;

} // namespace caperjunction::fleet

#endif
