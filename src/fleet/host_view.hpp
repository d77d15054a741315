#ifndef CAPERJUNCTION_FLEET_HOST_VIEW_HPP
#define CAPERJUNCTION_FLEET_HOST_VIEW_HPP

#include "fleet/host_state.hpp"
#include "model/host.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::fleet {

/// One host in a view.
struct viewed_host
{
    model::host host;
    host_state state = host_state::alive;
    /// The newest process of that name; 0 if none is known.
    std::uint64_t generation = 0;
    /// False if it is a neighbour whose heartbeats don't reach this host.
    bool reachable = true;
};

/// One host's view of the fleet at one time.
///
/// `hosts` contains every host that the platform lists, live or not, in order
/// of name. Quorums must count unreachable hosts too, or each side of a network
/// partition would reach a quorum of its own.
///
/// Thread safety: immutable once published; shared between tasks.
struct host_view
{
    /// Incremented with each change on this host; not comparable between hosts.
    std::uint64_t revision = 0;
    /// The platform's revision of the list of hosts.
    std::uint64_t list_revision = 0;
    std::vector<viewed_host> hosts;

    /// Returns null if the platform doesn't list the host.
    viewed_host const* find(std::string_view name) const;

    /// Returns the names of hosts that may get new work: alive or suspect. An
    /// empty region selects all regions.
    std::vector<std::string> live(std::string_view region = {}) const;
};

} // namespace caperjunction::fleet

#endif
