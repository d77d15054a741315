#ifndef CAPERJUNCTION_PROXY_RELAY_SETTINGS_HPP
#define CAPERJUNCTION_PROXY_RELAY_SETTINGS_HPP

#include "model/endpoint.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace caperjunction::proxy {

/// What one host's relay works with.
struct relay_settings
{
    model::endpoint listen;
    /// Where the other hosts reach this one; port 0: peers are not spoken to.
    model::endpoint peer_listen;
    /// Hash of the name of this host's data centre.
    std::uint64_t data_centre = 0;
    /// Hosts that know of others.
    std::vector<model::endpoint> seeds;
    /// How long keys may be acted on without the store confirming them.
    model::milliseconds key_lifetime{5'000};
    /// Within it a published change has to be in force.
    model::milliseconds apply_limit{2'500};
    /// Second sends that a request pays for, fleet-wide.
    double retry_ratio = 0.2;
    /// Second sends that the fleet may make at once beyond that.
    double retry_extra = 50.0;
    /// Time from the signal to stop until the process is ended.
    model::milliseconds stop_limit{8'000};
    /// Longest time until a connection to an upstream stands: many round
    /// trips between regions, and short against what callers wait.
    model::milliseconds connect_timeout{250};
    /// Bytes of request bodies held at once: half of the smallest host's
    /// memory. Beyond it the process would be ended and all callers with it.
    std::size_t max_buffered_bytes = 40'000'000;
};

} // namespace caperjunction::proxy

#endif
