#include "decide/session_line.hpp"

#include "model/error.hpp"

#include <charconv>
#include <cstdlib>
#include <sstream>

namespace caperjunction::decide {

namespace {

bool parse_number(std::string const& text, std::uint64_t& value)
{
    char const* const end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, value);
    return !text.empty() && result.ec == std::errc{} && result.ptr == end;
}

} // namespace

session_line::session_line(std::string_view text, std::size_t number)
    : m_number(number)
{
    std::istringstream words{std::string(text)};
    std::string time;
    if (!(words >> time >> m_verb) || !parse_number(time, m_milliseconds)) {
        fail("missing time or verb");
    }
    std::string word;
    while (words >> word) {
        m_words.push_back(word);
    }
}

std::string session_line::text(std::string_view key,
                               std::string default_value) const
{
    std::string const prefix = std::string(key) + '=';
    for (std::string const& word : m_words) {
        if (word.rfind(prefix, 0) == 0) {
            return word.substr(prefix.size());
        }
    }
    return default_value;
}

std::uint64_t session_line::number(std::string_view key,
                                   std::uint64_t default_value) const
{
    std::string const value_text = text(key);
    std::uint64_t value = default_value;
    if (!value_text.empty() && !parse_number(value_text, value)) {
        fail(std::string(key) + " is not a number");
    }
    return value;
}

double session_line::real(std::string_view key, double default_value) const
{
    std::string const value_text = text(key);
    return value_text.empty() ? default_value
                              : std::strtod(value_text.c_str(), nullptr);
}

void session_line::fail(std::string const& what) const
{
    throw model::error(model::error_kind::bad_request,
                       "line " + std::to_string(m_number) + ": " + what,
                       "use the format documented at decide::replay");
}

} // namespace caperjunction::decide
