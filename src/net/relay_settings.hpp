#ifndef CAPERJUNCTION_NET_RELAY_SETTINGS_HPP
#define CAPERJUNCTION_NET_RELAY_SETTINGS_HPP

#include "model/endpoint.hpp"
#include "model/limits.hpp"
#include "model/time.hpp"
#include "net/upstream_client.hpp"

#include <cstddef>
#include <cstdint>

namespace caperjunction::net {

/// Settings of the task that relays between callers and upstreams.
struct relay_settings
{
    /// Listen address for callers; port 0 lets the kernel choose.
    model::endpoint listen{"127.0.0.1", 0};
    /// High bits of the request ids that this host assigns.
    std::uint32_t id_prefix = 0;
    /// Maximum concurrent requests; further ones are refused.
    std::size_t max_exchanges = 20'000;
    std::size_t max_body_bytes = model::limits::max_body_bytes;
    /// Maximum size of all answers together that are kept until they are
    /// complete. Beyond it, the longest one is broken off.
    std::size_t max_kept_bytes = model::limits::max_kept_bytes;
    /// Time for a caller to send its complete request, and to read some more
    /// of its answer. After an answer, the next request may take 10 s longer.
    model::milliseconds caller_timeout{30'000};
    upstream_timeouts upstreams;
};

} // namespace caperjunction::net

#endif
