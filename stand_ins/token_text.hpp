#ifndef CAPERJUNCTION_STAND_INS_TOKEN_TEXT_HPP
#define CAPERJUNCTION_STAND_INS_TOKEN_TEXT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::stand_ins {

/// Four hex digits that tell prompts apart; part of each token, so that an
/// answer which reaches the wrong caller is seen.
std::string prompt_tag(std::string_view prompt);

/// The text of an output token, e.g. "t0-1f3a ". Every engine gives the same
/// for the same prompt, so that a resumed answer shows loss and doubling.
std::string token_text(std::string_view tag, std::uint32_t index);

/// The whole answer to a prompt.
std::string answer_text(std::string_view prompt, std::uint32_t tokens);

} // namespace caperjunction::stand_ins

#endif
