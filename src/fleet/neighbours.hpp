#ifndef CAPERJUNCTION_FLEET_NEIGHBOURS_HPP
#define CAPERJUNCTION_FLEET_NEIGHBOURS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// A host's place in the graph of neighbours.
struct ring_host
{
    std::string name;
    std::string region;
};

/// The hosts that `self` exchanges heartbeats with, in order of name.
///
/// Up to `full_mesh` hosts: all others. Above, the next and the previous
/// host on three rings, each in the order of another hash of the names: two
/// rings within the region, one over all regions. So a host has at most six
/// neighbours however large the fleet is, a region that is cut off stays
/// connected within itself, and a rumour reaches all in few hops.
///
/// Hosts that have the same list find the same graph, and its edges go both
/// ways. `self` counts as listed even if `hosts` lacks it.
std::vector<std::string> neighbours_of(ring_host const& self,
                                       std::vector<ring_host> const& hosts,
                                       std::size_t full_mesh);

} // namespace caperjunction::fleet

#endif
