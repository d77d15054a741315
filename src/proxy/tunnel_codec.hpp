#ifndef CAPERJUNCTION_PROXY_TUNNEL_CODEC_HPP
#define CAPERJUNCTION_PROXY_TUNNEL_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caperjunction::proxy {

/// Whether a host has connected another one to an upstream.
enum class tunnel_status : std::uint8_t
{
    established,
    /// The upstream can't be reached.
    unreachable,
    /// The host doesn't know the upstream, or connects no other hosts now.
    refused,
};

/// What a host asks another one for.
struct tunnel_request
{
    /// Id of the upstream.
    std::string upstream;
    /// Whether the sender can read `tunnel_frames`.
    bool reads_frames = true;
    /// Start of the upstream that the sender means; 0: any.
    std::uint64_t started = 0;
};

struct tunnel_reply
{
    tunnel_status status = tunnel_status::refused;
    /// Whether the bytes of the upstream arrive as `tunnel_frames`.
    bool has_frames = false;
};

/// Longest message about a tunnel, in bytes, with its length.
constexpr std::size_t max_tunnel_message = 1'024;

/// Serializes a request, with its length.
std::string encode_tunnel_request(tunnel_request const& request);

/// Serializes the reply to such a request, with its length.
std::string encode_tunnel_reply(tunnel_reply const& reply);

/// Returns the size of the message that `bytes` begin with; nothing if too few
/// bytes have arrived to tell.
std::optional<std::size_t> tunnel_message_size(std::string_view bytes);

/// Returns a request; nothing if the message is invalid.
/// \pre `message` has the size that `tunnel_message_size` returned.
std::optional<tunnel_request> decode_tunnel_request(std::string_view message);

/// Returns a reply; nothing if the message is invalid.
/// \pre `message` has the size that `tunnel_message_size` returned.
std::optional<tunnel_reply> decode_tunnel_reply(std::string_view message);

} // namespace caperjunction::proxy

#endif
