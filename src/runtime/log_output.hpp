#ifndef CAPERJUNCTION_RUNTIME_LOG_OUTPUT_HPP
#define CAPERJUNCTION_RUNTIME_LOG_OUTPUT_HPP

#include "runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace caperjunction::runtime {

/// Writes log lines to a descriptor without ever waiting for its reader.
///
/// A terminal or a collector that stops reading would stop a process that
/// writes to it, and all its callers with it. Lines are gathered and written
/// only as far as the descriptor takes them; beyond a bound they are dropped,
/// counted, and the count is logged when there is room again.
///
/// Thread safety: none; owned by the loop's task.
class log_output
{
public:
    /// Takes over all log lines until it is destroyed.
    log_output(event_loop& loop, int descriptor);
    ~log_output();
    log_output(log_output const&) = delete;
    log_output& operator=(log_output const&) = delete;

    void write(std::string_view line);

    /// Lines dropped so far.
    std::uint64_t dropped() const
    {
        return m_dropped;
    }

    /// Hands over what the descriptor takes now.
    void flush();

private:
    event_loop& m_loop;
    int m_descriptor;
    std::string m_held;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_dropped_told = 0;
    timer_handle m_timer;
    bool m_timer_set = false;
};

} // namespace caperjunction::runtime

#endif
