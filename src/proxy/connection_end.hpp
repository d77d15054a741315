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
    /// The other side has sent all that it will send.
    closed,
    /// The other side has reset it; bytes may be lost.
    reset,
    /// The other side has acknowledged nothing for too long.
    unacknowledged,
    /// The system ended it for another reason; bytes may be lost.
    broken,
    /// The connection never came about.
    unreachable,
    /// This host closed it although the other side hadn't.
    own_close,
};

/// Stable name, for logs and metrics.
inline std::string_view to_string(connection_end how)
{
    constexpr std::array<std::string_view, 6> names{"closed",
                                                    "reset",
                                                    "unacknowledged",
                                                    "broken",
                                                    "unreachable",
                                                    "own_close"};
    return names[static_cast<std::size_t>(how)];
}

} // namespace caperjunction::proxy

#endif
