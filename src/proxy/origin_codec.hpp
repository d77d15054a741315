#ifndef CAPERJUNCTION_PROXY_ORIGIN_CODEC_HPP
#define CAPERJUNCTION_PROXY_ORIGIN_CODEC_HPP

#include "routing/origin_claims.hpp"
#include "routing/stream_origin.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::proxy {

/// A stream that a host asks others for.
struct origin_question
{
    /// Key from `routing::stream_key`; 0: its caller hasn't named it.
    std::uint64_t stream = 0;
    /// The only service that may have begun it; 0: there are several.
    std::uint64_t service = 0;
};

/// What a host says of the software that began streams. At most one of
/// `question` and `answer` is set.
struct origin_message
{
    std::vector<routing::stream_origin> begun;
    /// Number of a question, and what is asked.
    std::uint64_t question = 0;
    origin_question asked;
    /// Number of the question that is answered, and the answer.
    std::uint64_t answer = 0;
    routing::origin_claim claim;
};

/// Returns whether a datagram isn't a digest but such a message.
bool is_origin_message(std::string_view bytes);

/// Serializes a message. Thread safety: any thread.
std::string encode_origin_message(origin_message const& message);

/// Returns a message; nothing if it is invalid. Thread safety: any thread.
/// \pre is_origin_message(bytes).
std::optional<origin_message> decode_origin_message(std::string_view bytes);

} // namespace caperjunction::proxy

#endif
