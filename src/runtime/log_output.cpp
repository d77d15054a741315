#include "runtime/log_output.hpp"

#include "runtime/log_line.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace caperjunction::runtime {
namespace {

/// Gathered before a write: a pipe takes as much at once or says that it is
/// not ready (PIPE_BUF), so that the write never waits.
constexpr std::size_t write_bytes = 4'096;
/// Some seconds of a busy host's lines.
constexpr std::size_t most_held = 262'144;
/// How late a line may come out.
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
    if (m_held.size() + line.size() > most_held) {
        ++m_dropped;
        return;
    }
    m_held.append(line);
    m_held.push_back('\n');
    if (m_held.size() >= write_bytes) {
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
    std::size_t done = 0;
    while (done < m_held.size()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            break;
        }
        ssize_t const took =
            ::write(m_descriptor,
                    m_held.data() + done,
                    std::min(write_bytes, m_held.size() - done));
        if (took <= 0) {
            break;
        }
        done += static_cast<std::size_t>(took);
    }
    m_held.erase(0, done);
    if (m_dropped > m_dropped_told && m_held.size() < most_held / 2) {
        m_held += fmt::format("event=log_dropped lines={}\n",
                              m_dropped - m_dropped_told);
        m_dropped_told = m_dropped;
    }
}

} // namespace caperjunction::runtime
