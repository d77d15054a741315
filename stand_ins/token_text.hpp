#ifndef CAPERJUNCTION_STAND_INS_TOKEN_TEXT_HPP
#define CAPERJUNCTION_STAND_INS_TOKEN_TEXT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::stand_ins {

/// Returns four hex digits derived from the prompt. They are part of each
/// token, so that tests detect an answer that reaches the wrong caller.
std::string prompt_tag(std::string_view prompt);

/// Returns the text of an output token, e.g. "t0-1f3a ". It is the same on
/// every engine, so that tests detect lost and duplicated tokens in an answer
/// that another engine resumed.
std::string token_text(std::string_view tag, std::uint32_t index);

/// Returns the complete answer to a prompt.
std::string answer_text(std::string_view prompt, std::uint32_t tokens);

} // namespace caperjunction::stand_ins

#endif
