#ifndef CAPERJUNCTION_NET_PEER_CODEC_HPP
#define CAPERJUNCTION_NET_PEER_CODEC_HPP

#include "fleet/peer_message.hpp"
#include "net/peer_control.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace caperjunction::net {

/// Content of a frame: a fleet message, or a control message of the link.
using peer_frame = std::variant<peer_challenge,
                                peer_hello,
                                peer_welcome,
                                peer_ping,
                                peer_pong,
                                fleet::peer_message>;

/// Size of the length prefix of each frame, little endian.
inline constexpr std::size_t frame_prefix_bytes = 4;

/// Serializes a frame, including its length prefix.
///
/// Thread safety: no shared state.
std::string encode(peer_frame const& frame);

/// Parses a frame without its length prefix.
///
/// \throws model::error (bad_request) if the bytes are not a valid frame or a
/// field is out of range; never reads outside of `bytes`.
peer_frame decode(std::uint8_t const* bytes, std::size_t size);

} // namespace caperjunction::net

#endif
