#include "lists/text_validation.hpp"

#include "model/limits.hpp"

#include <arpa/inet.h>

#include <algorithm>

namespace caperjunction::lists {
namespace {

bool is_name_character(char c)
{
    bool const letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    bool const digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == '.' || c == ':';
}

bool is_hex_digit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

} // namespace

bool is_name(std::string const& text)
{
    return !text.empty() && text.size() <= model::limits::max_name_length
           && std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_hex(std::string const& text)
{
    return std::all_of(text.begin(), text.end(), is_hex_digit);
}

bool is_numeric_address(std::string const& text)
{
    in6_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1
           || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

std::string sanitize_field_name(std::string const& field)
{
    std::string text = field.substr(0, model::limits::max_name_length);
    std::replace_if(
        text.begin(),
        text.end(),
        [](char c) {
            return !is_name_character(c);
        },
        '?');
    return text;
}

} // namespace caperjunction::lists
