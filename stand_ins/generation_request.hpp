#ifndef CAPERJUNCTION_STAND_INS_GENERATION_REQUEST_HPP
#define CAPERJUNCTION_STAND_INS_GENERATION_REQUEST_HPP

#include "stand_ins/exchange.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace caperjunction::stand_ins {

/// What a client asks of an engine.
struct generation_request
{
    /// The router's name for it; empty if it gave none.
    std::string id;
    std::string model;
    /// All texts of the request, one after the other.
    std::string prompt;
    std::uint32_t max_tokens = 16;
    /// Tokens that an earlier attempt has delivered; the next one is this.
    std::uint32_t resume_offset = 0;
    /// Lower goes first.
    std::uint32_t priority = 0;
    bool is_stream = false;
    bool is_chat = false;
};

/// Nothing if the body is not a request of the OpenAI-compatible protocol.
/// \pre call is open. Thread safety: no shared state.
std::optional<generation_request> parse_generation(exchange const& call);

} // namespace caperjunction::stand_ins

#endif
