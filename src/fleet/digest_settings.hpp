#ifndef CAPERJUNCTION_FLEET_DIGEST_SETTINGS_HPP
#define CAPERJUNCTION_FLEET_DIGEST_SETTINGS_HPP

#include "model/time.hpp"

#include <cstddef>

namespace caperjunction::fleet {

/// Bounds on the exchange of load digests.
struct digest_settings
{
    /// Shortest time between two digests of one host.
    model::milliseconds period{500};
    /// Bytes a second that a host may spend on sending digests: two of the
    /// 5 KB/s that all control traffic has. Longer digests go out less often.
    double bytes_per_second = 2'000.0;
    /// Peers that get each digest; all of them if they are no more.
    std::size_t fan_out = 6;
};

} // namespace caperjunction::fleet

#endif
