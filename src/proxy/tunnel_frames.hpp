#ifndef CAPERJUNCTION_PROXY_TUNNEL_FRAMES_HPP
#define CAPERJUNCTION_PROXY_TUNNEL_FRAMES_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Serializes bytes of an upstream for an established tunnel. \pre `bytes` is
/// not empty.
std::string encode_tunnel_bytes(std::string_view bytes);

/// Serializes the mark that the upstream has closed its connection.
std::string encode_tunnel_end();

/// Parses what arrives through an established tunnel.
///
/// A host that ends closes its connections like an upstream that has finished.
/// Without a mark, an answer that ends with its connection would count as
/// complete.
///
/// Thread safety: none; one instance per connection.
class tunnel_frames
{
public:
    /// Removes the next bytes of the upstream from `received`, with what
    /// precedes them, and returns them; empty if there are none yet.
    std::string_view next(std::string_view& received);

    /// Whether the upstream has closed its connection. No bytes follow.
    bool has_ended() const
    {
        return m_has_ended;
    }

private:
    /// The part of the next length that has arrived.
    std::string m_prefix;
    /// Bytes of the current frame that are still to come.
    std::size_t m_left = 0;
    bool m_has_ended = false;
};

} // namespace caperjunction::proxy

#endif
