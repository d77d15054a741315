#ifndef CAPERJUNCTION_FLEET_CONFIGURATION_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_CONFIGURATION_SETTINGS_HPP

#include "fleet/published_value.hpp"
#include "lists/fault.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Bodies that would be in force together; null where there is none.
struct value_bodies
{
    std::string const* plans = nullptr;
    std::string const* entitlements = nullptr;
    std::string const* hosts = nullptr;
    std::string const* upstreams = nullptr;
};

/// Tells what is wrong with the bodies given (both lists, or one other).
using check_bodies =
    std::function<std::vector<lists::fault>(value_bodies const& bodies)>;

struct configuration_settings
{
    std::string host;
    std::string region;
    /// Seeds the jitter.
    std::uint64_t seed = 1;
    check_bodies check;
    /// Hosts of each region that wait at the service. Two, so that the loss
    /// of one is not noticed; each costs one waiting call per value.
    std::size_t watchers_per_region = 2;
    /// How long a watch waits at the service.
    model::milliseconds watch_wait{30'000};
    /// Between two tries of a failed watch, so that a service that is down
    /// or stale isn't asked in a tight loop.
    model::milliseconds watch_retry{1'000};
    /// A peer that doesn't answer a fetch for this long is passed over.
    model::milliseconds fetch_timeout{1'000};
    /// Without a word from any peer for this long, ask the service directly.
    model::milliseconds peer_silence_limit{3'000};
    /// Mean time between direct reads of one host while peers are silent:
    /// 400 hosts with four values read 400 times a second, a fifth of what
    /// the service serves to all.
    model::milliseconds direct_read_period{4'000};
    /// The same while peers speak, in case that no watcher of the fleet can
    /// reach the service: a change is found within 12 s then, and 400 hosts
    /// read 200 times a second, a tenth of what the service serves.
    model::milliseconds audit_period{8'000};
    /// A starting host waits this long for the service and its peers before
    /// it acts by the highest revisions that it has seen.
    model::milliseconds startup_timeout{5'000};
    /// A pair of lists that doesn't check is told of after this time: the
    /// second list of a good pair arrives a little after the first.
    model::milliseconds fault_report_delay{5'000};
    /// Most bytes of splices kept for each value.
    std::size_t delta_memory = std::size_t{256} * 1024;
    /// Off only to measure what splices are worth.
    bool use_deltas = true;
};

} // namespace caperjunction::fleet

#endif
