#ifndef CAPERJUNCTION_NET_CALLER_REQUEST_HPP
#define CAPERJUNCTION_NET_CALLER_REQUEST_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::net {

/// Which of the two text interfaces a caller uses.
enum class text_interface : std::uint8_t
{
    chat,
    completion,
};

/// A caller's text request, read from its JSON body.
struct caller_request
{
    std::string model;
    /// The caller wants events as they come, not one whole answer.
    bool stream = false;
    /// The caller's bound, or the class's where that is lower.
    std::uint32_t max_output_tokens = 0;
    /// An estimate; engines count for themselves.
    std::uint32_t prompt_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks;
    /// Hash of the whole body: equal when the caller sends it again.
    std::uint64_t fingerprint = 0;
    /// What the engine is sent: the same request, always as a stream, so
    /// that a broken attempt can be resumed where it ended.
    std::string upstream_body;
};

/// Reads a body. `output_bound` is the class's bound on output tokens; the
/// engine is told the lower of it and the caller's own.
///
/// Thread safety: no shared state.
/// \throws model::error (bad_request) that names the field and the remedy.
caller_request parse_caller_request(std::string_view body,
                                    text_interface interface,
                                    std::uint32_t output_bound);

} // namespace caperjunction::net

#endif
