#ifndef CAPERJUNCTION_FLEET_MEMBERSHIP_PEER_HPP
#define CAPERJUNCTION_FLEET_MEMBERSHIP_PEER_HPP

#include "fleet/host_state.hpp"
#include "model/host.hpp"
#include "model/time.hpp"

#include <cstdint>

namespace caperjunction::fleet {

/// What membership keeps of one listed host besides the rumour about it.
struct membership_peer
{
    model::host host;
    host_state state = host_state::alive;
    bool neighbour = false;
    /// False while this host itself doesn't hear it though it should.
    bool reachable = true;
    /// False from a pause of this host until the peer answers a probe. What
    /// lay in the socket meanwhile tells nothing of whether it lives now;
    /// taken for a sign of life, it would refute the loss of a dead host.
    bool verified = true;
    /// The last sign of life that came from itself.
    model::time_point last_seen{};
    /// Silence counts from here at the earliest: it takes time to connect.
    model::time_point expected_since{};
    /// The last heartbeat from it that expects one in return.
    model::time_point last_reply_request{};
    /// When the report of its silence reached this host.
    model::time_point suspected_since{};
    /// When this host itself last reported it silent.
    model::time_point last_reported{};
    /// When it last got the whole table of rumours.
    model::time_point last_synced{};
    /// Heartbeats in a row with a table that differs from the own one.
    std::uint32_t mismatches = 0;
};

} // namespace caperjunction::fleet

#endif
