#ifndef CAPERJUNCTION_FLEET_NEIGHBOURS_HPP
#define CAPERJUNCTION_FLEET_NEIGHBOURS_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// A host in the neighbour graph.
struct ring_host
{
    std::string name;
    std::string region;
};

/// Returns the hosts that `self` exchanges heartbeats with, in order of name.
///
/// Up to `full_mesh` hosts: all others. Above, the next and the previous host
/// on three rings, each ordered by a different hash of the names: two rings
/// within the region, one over all regions. A host has at most six neighbours
/// in a fleet of any size, a region that is cut off stays connected within
/// itself, and an update reaches all hosts in few hops.
///
/// Hosts with equal lists compute the same graph, and its edges are symmetric.
/// `self` counts as listed even if `hosts` doesn't contain it.
std::vector<std::string> neighbours_of(ring_host const& self,
                                       std::vector<ring_host> const& hosts,
                                       std::size_t full_mesh);

} // namespace caperjunction::fleet

#endif
