#ifndef CAPERJUNCTION_NET_PEER_CODEC_HPP
#define CAPERJUNCTION_NET_PEER_CODEC_HPP

#include "fleet/peer_message.hpp"
#include "net/peer_control.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace caperjunction::net {

/// What one frame holds: a message of the fleet, or one of the link itself.
using peer_frame = std::variant<peer_challenge,
                                peer_hello,
                                peer_welcome,
                                peer_ping,
                                peer_pong,
                                fleet::peer_message>;

/// Bytes before each frame that give its length, lowest byte first.
inline constexpr std::size_t frame_prefix_bytes = 4;

/// The frame as it goes over the wire, with its length in front.
///
/// Thread safety: no shared state.
std::string encode(peer_frame const& frame);

/// Reads a frame, without the length.
///
/// \throws model::error (bad_request) if the bytes are no valid frame or a
/// field is out of its range; nothing is read outside of `bytes`.
peer_frame decode(std::uint8_t const* bytes, std::size_t size);

} // namespace caperjunction::net

#endif
