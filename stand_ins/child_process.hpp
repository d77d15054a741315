#ifndef CAPERJUNCTION_STAND_INS_CHILD_PROCESS_HPP
#define CAPERJUNCTION_STAND_INS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::stand_ins {

/// A program of this repository, started by a test or a benchmark. The
/// destructor kills the process if it is still running.
///
/// Thread safety: none.
class child_process
{
public:
    /// Starts `program` with `arguments`. Redirects standard output and
    /// standard error to a temporary file.
    ///
    /// \throws std::runtime_error if the process cannot be started.
    child_process(std::string const& program,
                  std::vector<std::string> arguments);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// Returns the number after `field=` in the log line `event=listening`,
    /// which it waits for. \throws std::runtime_error with the output if the
    /// process ends before that or does not write the line within 20 s.
    std::uint16_t port(std::string const& field);

    /// Returns everything that the process has written so far.
    std::string output() const;

    void send_signal(int number) const;

    /// Returns whether the process has ended, without blocking.
    bool has_ended();

    /// Blocks until the process ends and returns its exit status, or -1 if a
    /// signal ended it.
    int wait();

    /// Returns the user and system processor time used so far.
    std::chrono::milliseconds processor_time() const;

    /// Returns the resident memory in bytes.
    std::uint64_t resident_bytes() const;

private:
    pid_t m_pid = -1;
    std::string m_output_file;
    bool m_reaped = false;
    int m_status = 0;
};

} // namespace caperjunction::stand_ins

#endif
