#include "runtime/log_output.hpp"

#include "runtime/log_line.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace caperjunction::runtime {
namespace {

/// Size of one write; equals PIPE_BUF on Linux. poll() reports a pipe as
/// writable only if a write of this size does not block.
constexpr std::size_t max_write_bytes = 4'096;
/// Holds the lines of a busy host for some seconds.
constexpr std::size_t max_buffered_bytes = 262'144;
/// Maximum delay of a line.
constexpr model::milliseconds flush_period{200};

} // namespace

log_output::log_output(event_loop& loop, int descriptor)
    : m_loop(loop)
    , m_descriptor(descriptor)
{
    set_log_sink([this](std::string_view line) {
        write(line);
    });
}

log_output::~log_output()
{
    m_loop.cancel(m_timer);
    flush();
    set_log_sink([](std::string_view) {});
}

void log_output::write(std::string_view line)
{
    if (m_buffer.size() + line.size() > max_buffered_bytes) {
        ++m_dropped;
        return;
    }
    m_buffer.append(line);
    m_buffer.push_back('\n');
    if (m_buffer.size() >= max_write_bytes) {
        flush();
    } else if (!m_timer_set) {
        m_timer_set = true;
        m_timer = m_loop.after(flush_period, [this] {
            m_timer_set = false;
            flush();
        });
    }
}

void log_output::flush()
{
    std::size_t flushed = 0;
    while (flushed < m_buffer.size()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        ssize_t const written =
            ::write(m_descriptor,
                    m_buffer.data() + flushed,
                    std::min(max_write_bytes, m_buffer.size() - flushed));
        if (written <= 0) {
            break;
        }
        flushed += static_cast<std::size_t>(written);
    }
    m_buffer.erase(0, flushed);
    if (m_dropped > m_dropped_reported
        && m_buffer.size() < max_buffered_bytes / 2) {
        m_buffer += fmt::format("event=log_dropped lines={}\n",
                                m_dropped - m_dropped_reported);
        m_dropped_reported = m_dropped;
    }
}

} // namespace caperjunction::runtime
