#include "stand_ins/child_process.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace caperjunction::stand_ins {
namespace {

constexpr std::chrono::seconds startup_timeout{20};
constexpr std::chrono::milliseconds poll_interval{5};

std::string read_file(std::string const& name)
{
    std::ifstream file(name, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string make_output_file()
{
    std::string name = "/tmp/caperjunction-child-XXXXXX";
    int const file = mkstemp(name.data());
    if (file < 0) {
        throw std::runtime_error("cannot create an output file in /tmp");
    }
    close(file);
    return name;
}

} // namespace

child_process::child_process(std::string const& program,
                             std::vector<std::string> arguments)
    : m_output_file(make_output_file())
{
    arguments.insert(arguments.begin(), program);
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string& argument : arguments) {
        argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    for (int const stream : {STDOUT_FILENO, STDERR_FILENO}) {
        posix_spawn_file_actions_addopen(
            &actions, stream, m_output_file.c_str(), O_WRONLY | O_APPEND, 0);
    }
    int const result = posix_spawn(
        &m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
        throw std::runtime_error(program + " cannot be started");
    }
}

child_process::~child_process()
{
    if (!has_ended()) {
        send_signal(SIGKILL);
        wait();
    }
    unlink(m_output_file.c_str());
}

std::uint16_t child_process::port(std::string const& field)
{
    std::string const key = " " + field + "=";
    auto const deadline = std::chrono::steady_clock::now() + startup_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        std::string const text = output();
        std::size_t const line = text.find("event=listening");
        std::size_t const end = text.find('\n', line);
        if (line != std::string::npos && end != std::string::npos) {
            std::string const listening_line = text.substr(line, end - line);
            std::size_t const position = listening_line.find(key);
            if (position != std::string::npos) {
                return static_cast<std::uint16_t>(
                    std::stoul(listening_line.substr(position + key.size())));
            }
        }
        if (has_ended()) {
            break;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    throw std::runtime_error("program did not report its ports: " + output());
}

std::string child_process::output() const
{
    return read_file(m_output_file);
}

void child_process::send_signal(int number) const
{
    if (!m_reaped) {
        kill(m_pid, number);
    }
}

bool child_process::has_ended()
{
    if (!m_reaped && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
        m_reaped = true;
    }
    return m_reaped;
}

int child_process::wait()
{
    if (!m_reaped) {
        waitpid(m_pid, &m_status, 0);
        m_reaped = true;
    }
    return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

std::chrono::milliseconds child_process::processor_time() const
{
    std::string const stat = read_file(fmt::format("/proc/{}/stat", m_pid));
    // The second field, the name in parentheses, may contain spaces and
    // parentheses. Fields are therefore counted from the last parenthesis;
    // the first one after it is the state.
    std::istringstream fields(stat.substr(stat.rfind(')') + 1));
    std::string skipped;
    constexpr int fields_before_times = 11;
    for (int field = 0; field < fields_before_times; ++field) {
        fields >> skipped;
    }
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    fields >> user >> system;
    auto const ticks = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
    return std::chrono::milliseconds((user + system) * 1000 / ticks);
}

std::uint64_t child_process::resident_bytes() const
{
    std::istringstream fields(read_file(fmt::format("/proc/{}/statm", m_pid)));
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    fields >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace caperjunction::stand_ins
