#ifndef CAPERJUNCTION_PROXY_DIGEST_CODEC_HPP
#define CAPERJUNCTION_PROXY_DIGEST_CODEC_HPP

#include "model/time.hpp"
#include "routing/peer_digest.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// A digest and the fields that accompany it in a datagram.
struct digest_frame
{
    routing::peer_digest digest;
    /// Time of sending, by the sender's clock.
    model::time_point stamp{};
    /// Last stamp that the sender received from the receiver, and the time
    /// between that receipt and this send.
    std::optional<model::time_point> echoed;
    std::chrono::microseconds echo_held{0};
    /// Age of the store's last confirmation of the sender's configuration, at
    /// the time of sending.
    std::optional<std::chrono::microseconds> confirmed_age;
};

std::string encode_digest(digest_frame const& frame);

/// Returns std::nullopt if the bytes are not a valid digest.
std::optional<digest_frame> decode_digest(std::string_view bytes);

} // namespace caperjunction::proxy

#endif
