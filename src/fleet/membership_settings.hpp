#ifndef CAPERJUNCTION_FLEET_MEMBERSHIP_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_MEMBERSHIP_SETTINGS_HPP

#include "model/host.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>

namespace caperjunction::fleet {

/// Identity of this host and times of the failure detector.
struct membership_settings
{
    model::host self;
    std::uint64_t generation = 0;
    /// Time between two heartbeats to one neighbour.
    model::milliseconds heartbeat_period{500};
    /// Time without a heartbeat after which a neighbour is reported silent.
    model::milliseconds silence_limit{2'000};
    /// Time in which its other neighbours can refute the report.
    model::milliseconds suspicion_timeout{1'000};
    /// Minimum time before a refuted report is repeated.
    model::milliseconds min_report_interval{10'000};
    /// Up to this many hosts, all hosts are neighbours of each other.
    std::size_t full_mesh_hosts = 8;
    /// A longer gap between wake-ups makes the own view outdated.
    model::milliseconds pause_limit{1'000};
    /// Disabled only in benchmarks that measure the effect of the check.
    bool check_generation = true;
    /// Disabled only in benchmarks that measure the effect of refutation.
    bool refute = true;
    /// Disabled only in benchmarks that measure the effect of the refresh.
    bool refresh_after_pause = true;
};

} // namespace caperjunction::fleet

#endif
