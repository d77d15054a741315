#ifndef CAPERJUNCTION_FLEET_DIGEST_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_DIGEST_SETTINGS_HPP

#include "model/time.hpp"

#include <cstddef>

namespace caperjunction::fleet {

/// Limits of the exchange of load digests.
struct digest_settings
{
    /// Minimum time between two digests of one host.
    model::milliseconds period{500};
    /// Bytes per second that a host may spend on sending digests: 2 of the 5
    /// KB/s budget of all control traffic. Larger digests are sent less often.
    double bytes_per_second = 2'000.0;
    /// Number of peers that receive each digest.
    std::size_t fan_out = 6;
};

} // namespace caperjunction::fleet

#endif
