#ifndef CAPERJUNCTION_FLEET_MEMBERSHIP_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_MEMBERSHIP_SETTINGS_HPP

#include "model/host.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>

namespace caperjunction::fleet {

/// Who this host is and how fast it notices others.
struct membership_settings
{
    model::host self;
    std::uint64_t generation = 0;
    /// Time between two heartbeats to one neighbour.
    model::milliseconds heartbeat_period{500};
    /// A neighbour not heard for this long is reported silent.
    model::milliseconds silence_limit{2'000};
    /// How long its other neighbours have to refute that.
    model::milliseconds suspicion_timeout{1'000};
    /// A refuted report is not repeated sooner than this.
    model::milliseconds min_report_interval{10'000};
    /// Up to this many hosts, everyone is everyone's neighbour.
    std::size_t full_mesh_hosts = 8;
    /// A gap between wake-ups that makes the own view old.
    model::milliseconds pause_limit{1'000};
    /// Off only to measure what the check is worth.
    bool check_generation = true;
    /// Off only to measure what refutation is worth.
    bool refute = true;
    /// Off only to measure what the refresh after a pause is worth.
    bool refresh_after_pause = true;
};

} // namespace caperjunction::fleet

#endif
