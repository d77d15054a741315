#ifndef CAPERJUNCTION_RUNTIME_LOG_LINE_HPP
#define CAPERJUNCTION_RUNTIME_LOG_LINE_HPP

#include <fmt/format.h>

#include <functional>
#include <string>
#include <string_view>

namespace caperjunction::runtime {

/// Sets the function that receives each log line; by default lines are written
/// to standard error.
///
/// \pre No task has been started.
void set_log_sink(std::function<void(std::string_view line)> sink);

/// Formats one event as a line of key=value pairs and writes it in the
/// destructor. Values are quoted and escaped, so that text sent by a caller
/// cannot inject a line or a pair.
///
/// Thread safety: an object is used by one thread. Lines of different threads
/// do not interleave.
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
