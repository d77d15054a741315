#ifndef CAPERJUNCTION_ROUTING_TUNNEL_PEER_HPP
#define CAPERJUNCTION_ROUTING_TUNNEL_PEER_HPP

#include "model/endpoint.hpp"
#include "routing/peer_digest.hpp"

#include <cstdint>

namespace caperjunction::routing {

/// A host that connects other hosts to upstreams.
///
/// Thread safety: none; owned by one task.
struct tunnel_peer
{
    /// Address of its tunnels.
    model::endpoint at;
    std::uint64_t data_centre = 0;
    /// Its last digest, valid until the next one is recorded; null if only
    /// other hosts have named it.
    peer_digest const* digest = nullptr;

    /// Returns whether it observes a pause of the upstream of this key, from
    /// `upstream_load_key`.
    bool is_paused(std::uint32_t upstream) const;

    /// Returns whether it may be asked for that upstream now: it has not lost
    /// its own link, and observes no pause.
    bool offers(std::uint32_t upstream) const;
};

} // namespace caperjunction::routing

#endif
