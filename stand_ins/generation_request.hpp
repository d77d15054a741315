#ifndef CAPERJUNCTION_STAND_INS_GENERATION_REQUEST_HPP
#define CAPERJUNCTION_STAND_INS_GENERATION_REQUEST_HPP

#include "stand_ins/exchange.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace caperjunction::stand_ins {

/// A completion request to an engine.
struct generation_request
{
    /// Request id set by the router; empty if there is none.
    std::string id;
    std::string model;
    /// Concatenated texts of the request.
    std::string prompt;
    std::uint32_t max_tokens = 16;
    /// Number of tokens delivered by earlier attempts, which is also the
    /// index of the first token to send.
    std::uint32_t resume_offset = 0;
    /// Lower values are served first.
    std::uint32_t priority = 0;
    bool is_stream = false;
    bool is_chat = false;
};

/// Returns nothing if the body is not a request of the OpenAI-compatible
/// protocol. \pre `call` is open. Thread safety: no shared state.
std::optional<generation_request> parse_generation(exchange const& call);

} // namespace caperjunction::stand_ins

#endif
