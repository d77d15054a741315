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

/// Bodies to check together; null where there is none.
struct value_bodies
{
    std::string const* plans = nullptr;
    std::string const* entitlements = nullptr;
    std::string const* hosts = nullptr;
    std::string const* upstreams = nullptr;
};

/// Returns the faults of the given bodies (both lists, or one other value).
using check_bodies =
    std::function<std::vector<lists::fault>(value_bodies const& bodies)>;

struct configuration_settings
{
    std::string host;
    std::string region;
    /// Seed of the jitter.
    std::uint64_t seed = 1;
    check_bodies check;
    /// Hosts per region that hold long polls at the service. With two, the loss
    /// of one delays no change; each costs one waiting call per value.
    std::size_t watchers_per_region = 2;
    /// Maximum time of a long poll at the service.
    model::milliseconds watch_wait{30'000};
    /// Delay after a failed watch. Without it, a service that is down or stale
    /// is polled in a tight loop.
    model::milliseconds watch_retry{1'000};
    /// Time after which an unanswered fetch is sent to another peer.
    model::milliseconds fetch_timeout{1'000};
    /// Without a message from any peer for this long, the host polls the
    /// service directly.
    model::milliseconds peer_silence_limit{3'000};
    /// Mean time between direct reads of one host while peers are silent. 400
    /// hosts with four values read 400 times a second, a fifth of the service's
    /// total capacity.
    model::milliseconds direct_read_period{4'000};
    /// Mean time between direct reads while peers are reachable, in case no
    /// watcher can reach the service. A change is then found within 12 s; 400
    /// hosts read 200 times a second, a tenth of the service's capacity.
    model::milliseconds audit_period{8'000};
    /// A starting host waits this long for the service and its peers before it
    /// becomes ready with the highest revisions seen.
    model::milliseconds startup_timeout{5'000};
    /// Faults of a pair of lists are reported after this delay, because the
    /// second list of a valid pair arrives slightly later than the first.
    model::milliseconds fault_report_delay{5'000};
    /// Maximum bytes of deltas stored per value.
    std::size_t delta_memory = std::size_t{256} * 1024;
    /// Disabled only in benchmarks that measure the effect of deltas.
    bool use_deltas = true;
};

} // namespace caperjunction::fleet

#endif
