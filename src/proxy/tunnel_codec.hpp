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

/// Longest message about a tunnel, in bytes, with its length.
constexpr std::size_t max_tunnel_message = 1'024;

/// Serializes the request to connect to the upstream `id`, with its length.
std::string encode_tunnel_request(std::string_view id);

/// Serializes the reply to such a request, with its length.
std::string encode_tunnel_reply(tunnel_status status);

/// Returns the size of the message that `bytes` begin with; nothing if too few
/// bytes have arrived to tell.
std::optional<std::size_t> tunnel_message_size(std::string_view bytes);

/// Returns the id of the requested upstream; nothing if the message is invalid.
/// \pre `message` has the size that `tunnel_message_size` returned.
std::optional<std::string> decode_tunnel_request(std::string_view message);

/// Returns the status of a reply; nothing if the message is invalid.
/// \pre `message` has the size that `tunnel_message_size` returned.
std::optional<tunnel_status> decode_tunnel_reply(std::string_view message);

} // namespace caperjunction::proxy

#endif
