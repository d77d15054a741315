#ifndef CAPERJUNCTION_FLEET_MEMBERSHIP_PEER_HPP
#define CAPERJUNCTION_FLEET_MEMBERSHIP_PEER_HPP

#include "fleet/host_state.hpp"
#include "model/host.hpp"
#include "model/time.hpp"

#include <cstdint>

namespace caperjunction::fleet {

/// State of one listed host besides the update about it.
struct membership_peer
{
    model::host host;
    host_state state = host_state::alive;
    bool neighbour = false;
    /// False while expected heartbeats don't reach this host.
    bool reachable = true;
    /// False from a pause of this host until the peer answers a probe. Messages
    /// that were in the socket meanwhile don't prove that the peer is alive;
    /// counted as contact, they would refute the loss of a dead host.
    bool verified = true;
    /// Time of the last message from the peer itself.
    model::time_point last_seen{};
    /// Silence counts from this time at the earliest: connecting takes time.
    model::time_point expected_since{};
    /// Time of the last heartbeat from it that expects one in return.
    model::time_point last_reply_request{};
    /// Time at which this host received the suspicion.
    model::time_point suspected_since{};
    /// Time of this host's own last suspicion report.
    model::time_point last_reported{};
    /// Time at which the complete update table was last sent to it.
    model::time_point last_synced{};
    /// Consecutive heartbeats whose table hash differs from the own one.
    std::uint32_t mismatches = 0;
};

} // namespace caperjunction::fleet

#endif
