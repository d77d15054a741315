#include "runtime/log_line.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <utility>

namespace caperjunction::runtime {
namespace {

// One call of the C library writes the complete line, so that lines of
// different threads do not interleave.
void write_to_standard_error(std::string_view line)
{
    fmt::print(stderr, "{}\n", line);
}

std::function<void(std::string_view)> s_sink = write_to_standard_error;

bool is_unquoted(char c)
{
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
}

bool needs_quotes(std::string_view value)
{
    for (char const c : value) {
        if (!is_unquoted(c)) {
            return true;
        }
    }
    return value.empty();
}

void append_escaped(std::string& text, std::string_view value)
{
    for (char const c : value) {
        if (c == '"' || c == '\\') {
            text.push_back('\\');
            text.push_back(c);
        } else if (c >= ' ' && c < 0x7f) {
            text.push_back(c);
        } else {
            text += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        }
    }
}

std::string timestamp()
{
    auto const now = std::chrono::system_clock::now();
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        now.time_since_epoch())
                        .count()
                    % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                       ms);
}

} // namespace

void set_log_sink(std::function<void(std::string_view line)> sink)
{
    s_sink = std::move(sink);
}

log_line::log_line(std::string_view event)
    : m_text(fmt::format("time={} event={}", timestamp(), event))
{
}

log_line::~log_line()
{
    s_sink(m_text);
}

void log_line::append(std::string_view key, std::string_view value)
{
    m_text.push_back(' ');
    m_text.append(key);
    m_text.push_back('=');
    if (!needs_quotes(value)) {
        m_text.append(value);
        return;
    }
    m_text.push_back('"');
    append_escaped(m_text, value);
    m_text.push_back('"');
}

} // namespace caperjunction::runtime
