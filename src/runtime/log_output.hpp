#ifndef CAPERJUNCTION_RUNTIME_LOG_OUTPUT_HPP
#define CAPERJUNCTION_RUNTIME_LOG_OUTPUT_HPP

#include "runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::runtime {

/// Writes log lines to a file descriptor without blocking.
///
/// With blocking writes, a terminal or log collector that stops reading stalls
/// the process and all its callers. Lines are buffered and written as far as
/// the descriptor accepts them. When the buffer is full, lines are dropped and
/// counted, and the count is logged once there is space again.
///
/// Thread safety: none; owned by the loop's task.
class log_output
{
public:
    /// Installs itself as the log sink until destruction.
    log_output(event_loop& loop, int descriptor);
    ~log_output();
    log_output(log_output const&) = delete;
    log_output& operator=(log_output const&) = delete;

    void write(std::string_view line);

    /// Number of lines dropped since construction.
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

    /// Writes as much of the buffer as the descriptor accepts.
    void flush();

private:
    event_loop& m_loop;
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_reported = 0;
    timer_handle m_timer;
    bool m_timer_set = false;
};

} // namespace caperjunction::runtime

#endif
