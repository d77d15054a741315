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

/// A digest with what a datagram needs beside it.
struct digest_frame
{
    routing::peer_digest digest;
    /// The sender's clock when it was sent.
    model::time_point stamp{};
    /// The last stamp that the sender got from the receiver, and for how
    /// long it has had it.
    std::optional<model::time_point> echoed;
    std::chrono::microseconds echo_held{0};
    /// How long before the send the store had confirmed the sender's
    /// configuration.
    std::optional<std::chrono::microseconds> confirmed_age;
};

std::string encode_digest(digest_frame const& frame);

/// Nothing if the bytes are no digest.
std::optional<digest_frame> decode_digest(std::string_view bytes);

} // namespace caperjunction::proxy

#endif
