#ifndef CAPERJUNCTION_STAND_INS_CHILD_PROCESS_HPP
#define CAPERJUNCTION_STAND_INS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace caperjunction::stand_ins {

/// One program of this repo, started by a test or a bench. It is killed when
/// this object goes.
///
/// Thread safety: none.
class child_process
{
public:
    /// Starts `program` with `words`; its output goes to a file of its own.
    ///
    /// \throws std::runtime_error if it can't be started.
    child_process(std::string const& program, std::vector<std::string> words);
    ~child_process();
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    /// The number after `field=` in its line `event=listening`. Waits for
    /// that line. \throws std::runtime_error with its output if it ends
    /// before, or takes too long.
    std::uint16_t port(std::string const& field);

    /// Everything that it has written so far.
    std::string output() const;

    void send_signal(int number) const;

    /// Whether it has ended; doesn't wait.
    bool has_ended();

    /// Its exit status; waits. -1 if a signal ended it.
    int wait();

    /// Processor time that it has used so far.
    std::chrono::milliseconds processor_time() const;

    /// Memory that it holds now, in bytes.
    std::uint64_t resident_bytes() const;

private:
    pid_t m_pid = -1;
    std::string m_output_file;
    bool m_reaped = false;
    int m_status = 0;
};

} // namespace caperjunction::stand_ins

#endif
