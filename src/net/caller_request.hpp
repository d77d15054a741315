#ifndef CAPERJUNCTION_NET_CALLER_REQUEST_HPP
#define CAPERJUNCTION_NET_CALLER_REQUEST_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Text API that a caller uses.
enum class text_interface : std::uint8_t
{
    chat,
    completion,
};

/// A caller's text request, parsed from its JSON body.
struct caller_request
{
    std::string model;
    /// The caller requests a stream of events instead of one JSON answer.
    bool stream = false;
    /// The lower of the caller's limit and the class's limit.
    std::uint32_t max_output_tokens = 0;
    /// Estimate; engines count the exact number.
    std::uint32_t prompt_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks;
    /// Hash of the whole body; identical resends have the same value.
    std::uint64_t fingerprint = 0;
    /// Request body for the engine. Always requests a stream, so that a
    /// broken attempt can be resumed at the token where it ended.
    std::string upstream_body;
};

/// Parses a body. `output_bound` is the class's limit on output tokens; the
/// engine receives the lower of it and the caller's limit.
///
/// Thread safety: no shared state.
/// \throws model::error (bad_request) that names the field and the remedy.
caller_request parse_caller_request(std::string_view body,
                                    text_interface interface,
                                    std::uint32_t output_bound);

} // namespace caperjunction::net

#endif
