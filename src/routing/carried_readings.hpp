#ifndef CAPERJUNCTION_ROUTING_CARRIED_READINGS_HPP
#define CAPERJUNCTION_ROUTING_CARRIED_READINGS_HPP

#include "routing/peer_digest.hpp"

#include <cstdint>

namespace caperjunction::routing {

/// Returns whether a digest with this number carries the measurements of
/// engines. The others leave them out: the speed of an engine lasts, and
/// digests are sent several times a second.
///
/// Numbers are hashed: a receiver of each eighth digest would otherwise get
/// those with measurements alone, or none of them.
bool carries_readings(std::uint64_t sequence);

/// Returns whether a digest has to tell what was measured of an upstream.
inline bool has_readings(peer_load const& item)
{
    return item.readings.prompt_tokens > 0.0 || item.readings.event_gaps > 0.0
           || item.load.memory_tokens > 0;
}

/// Completes a digest that leaves measurements out by those of the previous
/// one, for the upstreams that both contain. `memory_tokens` of other hosts are
/// therefore as old as their last digest with measurements.
void carry_readings(peer_digest const& previous, peer_digest& next);

} // namespace caperjunction::routing

#endif
