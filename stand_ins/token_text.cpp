#include "stand_ins/token_text.hpp"

#include <fmt/format.h>
#include <xxhash.h>

namespace caperjunction::stand_ins {

std::string prompt_tag(std::string_view prompt)
{
    constexpr unsigned low_bits = 0xffff;
    auto const hash = XXH3_64bits(prompt.data(), prompt.size());
    return fmt::format("{:04x}", hash & low_bits);
}

std::string token_text(std::string_view tag, std::uint32_t index)
{
    return fmt::format("t{}-{} ", index, tag);
}

std::string answer_text(std::string_view prompt, std::uint32_t tokens)
{
    std::string const tag = prompt_tag(prompt);
    std::string text;
    for (std::uint32_t index = 0; index < tokens; ++index) {
        text += token_text(tag, index);
    }
    return text;
}

} // namespace caperjunction::stand_ins
