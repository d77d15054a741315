#ifndef CAPERJUNCTION_ROUTING_PEER_DIGEST_HPP
#define CAPERJUNCTION_ROUTING_PEER_DIGEST_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"
#include "routing/upstream_state.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace caperjunction::routing {

/// What a host has sent to one upstream.
struct peer_load
{
    /// Hash of the upstream's id.
    std::uint64_t upstream = 0;
    upstream_load load;
};

/// A request that was on an upstream when that broke.
struct crash_suspect
{
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
};

/// What one host tells another several times a second.
struct peer_digest
{
    /// Differs with each start of the sender.
    std::uint64_t generation = 0;
    std::uint64_t sequence = 0;
    /// The newest change of the store that the sender has applied; it has
    /// applied all before it.
    std::uint64_t revision = 0;
    /// As of when the store had no change beyond it, on the receiver's
    /// clock; nothing if that can't be told.
    std::optional<model::time_point> confirmed;
    /// Hosts that the sender has known at one time.
    std::uint32_t hosts_seen = 0;
    /// Hash of the name of the sender's data centre.
    std::uint64_t data_centre = 0;
    /// Told to hosts nearby: what the sender itself has sent.
    std::vector<peer_load> loads;
    /// The sender speaks for its data centre.
    bool speaks = false;
    /// Told to those that speak for other data centres: what all hosts of the
    /// sender's have sent.
    std::vector<peer_load> sums;
    /// Told by the one that speaks to hosts nearby: what all hosts of all
    /// other data centres have sent.
    std::vector<peer_load> beyond;
    std::vector<crash_suspect> suspects;
    /// Other hosts that the sender hears.
    std::vector<model::endpoint> peers;
};

} // namespace caperjunction::routing

#endif
