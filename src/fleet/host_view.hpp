#ifndef CAPERJUNCTION_FLEET_HOST_VIEW_HPP
#define CAPERJUNCTION_FLEET_HOST_VIEW_HPP

#include "fleet/host_state.hpp"
#include "model/host.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::fleet {

/// One host of the view.
struct viewed_host
{
    model::host host;
    host_state state = host_state::alive;
    /// The newest process of that name; 0 if none has been heard of.
    std::uint64_t generation = 0;
    /// False if it is a neighbour and this host itself doesn't hear it.
    bool reachable = true;
};

/// The fleet as one host sees it at one moment.
///
/// `hosts` has every host that the platform lists, in order of name, and
/// not only live ones: what needs a quorum must count hosts that are cut off
/// too, or each part of a split fleet would find a quorum of its own.
///
/// Thread safety: immutable once published; shared between tasks.
struct host_view
{
    /// Grows by one with each change on this host; no two hosts' compare.
    std::uint64_t revision = 0;
    /// The platform's revision of the list of hosts.
    std::uint64_t list_revision = 0;
    std::vector<viewed_host> hosts;

    /// Null if the platform doesn't list it.
    viewed_host const* find(std::string_view name) const;

    /// Names of the hosts that may get new work: alive or suspect. An empty
    /// region means all regions.
    std::vector<std::string> live(std::string_view region = {}) const;
};

} // namespace caperjunction::fleet

#endif
