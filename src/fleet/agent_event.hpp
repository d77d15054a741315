#ifndef CAPERJUNCTION_FLEET_AGENT_EVENT_HPP
#define CAPERJUNCTION_FLEET_AGENT_EVENT_HPP

#include "fleet/host_view.hpp"
#include "fleet/peer_message.hpp"
#include "model/host_list.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace caperjunction::fleet {

/// The platform's list of hosts is in force from now on. A starting host that
/// can't reach the service gets seed peers from its settings, as revision 0.
struct hosts_listed
{
    model::host_list hosts;
};

/// A peer sent a message over the link.
struct message_received
{
    std::string from;
    peer_message message;
};

/// A link to a peer is up. The updates that the peer missed are sent to it.
struct link_up
{
    std::string host;
};

/// This host is about to stop. Peers are notified immediately.
struct stop_planned
{
};

/// The service returned a higher revision than the watched one.
struct value_read
{
    published_value value = published_value::plans;
    std::uint64_t revision = 0;
    std::shared_ptr<std::string const> body;
};

/// A watch ended without a higher revision, or the service failed.
struct read_ended
{
    published_value value = published_value::plans;
    bool failed = false;
};

/// The router's latest load digest, to be sent to peers.
struct digest_updated
{
    std::vector<std::uint8_t> bytes;
};

/// Time has passed; sent at least every `agent::tick_period`.
struct agent_tick
{
};

/// Every input of the fleet's state machines.
using agent_event = std::variant<hosts_listed,
                                 message_received,
                                 link_up,
                                 stop_planned,
                                 value_read,
                                 read_ended,
                                 digest_updated,
                                 agent_tick>;

} // namespace caperjunction::fleet

#endif
