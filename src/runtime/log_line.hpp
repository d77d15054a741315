#ifndef CAPERJUNCTION_RUNTIME_LOG_LINE_HPP
#define CAPERJUNCTION_RUNTIME_LOG_LINE_HPP

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>

namespace caperjunction::runtime {

/// Where finished lines go; standard error unless a test says otherwise.
///
/// \pre Set before any task starts.
void set_log_sink(std::function<void(std::string_view line)> sink);

/// One event as one line of key=value pairs, written when it goes out of
/// scope. Values are quoted and escaped, so that nothing that a caller sends
/// can begin a line or a pair of its own.
///
/// Thread safety: a line belongs to one thread; lines don't mix.
class log_line
{
public:
    explicit log_line(std::string_view event);
    ~log_line();
    log_line(log_line const&) = delete;
    log_line& operator=(log_line const&) = delete;

    template <typename Value>
    log_line& field(std::string_view key, Value const& value)
    {
        append(key, fmt::format("{}", value));
        return *this;
    }

private:
    void append(std::string_view key, std::string_view value);

    std::string m_text;
};

} // namespace caperjunction::runtime

#endif
