#ifndef CAPERJUNCTION_NET_PEER_LINK_SETTINGS_HPP
#define CAPERJUNCTION_NET_PEER_LINK_SETTINGS_HPP

#include "model/endpoint.hpp"
#include "model/limits.hpp"
#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace caperjunction::net {

struct peer_link_settings
{
    /// This host's name in the platform's list.
    std::string host;
    /// Port 0 lets the kernel choose.
    model::endpoint listen;
    /// Known to all hosts of the fleet and to no other process.
    std::string secret;
    model::milliseconds ping_period{1'000};
    /// A connection without received bytes for this time is closed and
    /// replaced; the peer is not yet considered down.
    model::milliseconds silence_limit{3'000};
    /// For the TCP connection and the handshake together.
    model::milliseconds connect_timeout{2'000};
    model::milliseconds reconnect_delay{500};
    /// A connection that is not persistent is closed after this time unused.
    model::milliseconds idle_timeout{60'000};
    /// Maximum bytes queued for one host; beyond it `send` returns false.
    std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;
    /// A longer frame closes the connection.
    std::size_t max_frame_bytes = model::limits::max_body_bytes + 65'536;
    /// Maximum accepted connections, authenticated or not.
    std::size_t max_accepted = 2'048;
};

/// Counters of the link, for metrics.
struct peer_link_counters
{
    std::uint64_t bad_frames = 0;
    std::uint64_t refused_handshakes = 0;
    std::uint64_t silent_connections = 0;
    std::uint64_t full_queues = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

} // namespace caperjunction::net

#endif
