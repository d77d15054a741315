#ifndef CAPERJUNCTION_PROXY_DIGEST_STRUCTS_HPP
#define CAPERJUNCTION_PROXY_DIGEST_STRUCTS_HPP

#include "proxy/wire/digest_generated.h"
#include "routing/peer_digest.hpp"

namespace caperjunction::proxy {

/// Conversions of the entries of a digest to those of its message, and back.
/// Values beyond the range of a field are cut to it.
///
/// Thread safety of all functions here: no shared state.
wire::Neighbour to_wire(routing::neighbour const& from);
routing::neighbour from_wire(wire::Neighbour const& from);
wire::Pause to_wire(routing::advertised_pause const& from);
routing::advertised_pause from_wire(wire::Pause const& from);
wire::Limit to_wire(routing::advertised_limit const& from);
routing::advertised_limit from_wire(wire::Limit const& from);
wire::Work to_wire(routing::peer_load const& from);
routing::peer_load from_wire(wire::Work const& from);
wire::Demand to_wire(routing::team_demand const& from);
routing::team_demand from_wire(wire::Demand const& from);

/// Return the measurements and memory of `from` as an entry of their own list,
/// and read them into the load that they belong to.
wire::Reading reading_to_wire(routing::peer_load const& from);
void read_reading(wire::Reading const& from, routing::peer_load& to);

} // namespace caperjunction::proxy

#endif
