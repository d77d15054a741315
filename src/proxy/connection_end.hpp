#ifndef CAPERJUNCTION_PROXY_CONNECTION_END_HPP
#define CAPERJUNCTION_PROXY_CONNECTION_END_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace caperjunction::proxy {

/// How a connection ended.
enum class connection_end : std::uint8_t
{
    /// The peer closed its sending side.
    closed,
    /// The peer reset the connection; bytes may be lost.
    reset,
    /// The peer acknowledged nothing for too long.
    unacknowledged,
    /// The connection failed for another reason; bytes may be lost.
    broken,
    /// The connection could not be established.
    unreachable,
    /// This host closed the connection before the peer did.
    own_close,
};

/// Returns the stable name for logs and metrics.
inline std::string_view to_string(connection_end reason)
{
    constexpr std::array<std::string_view, 6> names{"closed",
                                                    "reset",
                                                    "unacknowledged",
                                                    "broken",
                                                    "unreachable",
                                                    "own_close"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace caperjunction::proxy

#endif
