#ifndef CAPERJUNCTION_DECIDE_SESSION_LINE_HPP
#define CAPERJUNCTION_DECIDE_SESSION_LINE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::decide {

/// One line of a recorded session: a time, a verb, key=value pairs.
///
/// Thread safety: none.
class session_line
{
public:
    /// \throws model::error if `text` has no time and verb.
    session_line(std::string_view text, std::size_t number);

    std::uint64_t milliseconds() const
    {
        return m_milliseconds;
    }

    std::string const& verb() const
    {
        return m_verb;
    }

    std::string text(std::string_view key,
                     std::string default_value = "") const;

    /// \throws model::error if the value is not a number.
    std::uint64_t number(std::string_view key,
                         std::uint64_t default_value) const;

    double real(std::string_view key, double default_value) const;

    /// Reports an error in this line.
    /// \throws model::error, always.
    [[noreturn]] void fail(std::string const& what) const;

private:
    std::size_t m_number;
    std::uint64_t m_milliseconds = 0;
    std::string m_verb;
    std::vector<std::string> m_words;
};

} // namespace caperjunction::decide

#endif
