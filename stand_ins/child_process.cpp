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

constexpr std::chrono::seconds patience{20};
constexpr std::chrono::milliseconds look_again{5};

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
        throw std::runtime_error("no output file could be made");
    }
    close(file);
    return name;
}

} // namespace

child_process::child_process(std::string const& program,
                             std::vector<std::string> words)
    : m_output_file(make_output_file())
{
    words.insert(words.begin(), program);
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    for (int const stream : {STDOUT_FILENO, STDERR_FILENO}) {
        posix_spawn_file_actions_addopen(
            &actions, stream, m_output_file.c_str(), O_WRONLY | O_APPEND, 0);
    }
    int const failed = posix_spawn(
        &m_pid, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error(program + " could not be started");
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
    std::string const wanted = " " + field + "=";
    auto const limit = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < limit) {
        std::string const text = output();
        std::size_t const line = text.find("event=listening");
        std::size_t const end = text.find('\n', line);
        if (line != std::string::npos && end != std::string::npos) {
            std::string const found = text.substr(line, end - line);
            std::size_t const place = found.find(wanted);
            if (place != std::string::npos) {
                return static_cast<std::uint16_t>(
                    std::stoul(found.substr(place + wanted.size())));
            }
        }
        if (has_ended()) {
            break;
        }
        std::this_thread::sleep_for(look_again);
    }
    throw std::runtime_error("a program did not come up: " + output());
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
    // The name in parentheses may hold anything; fields are counted from
    // behind it, where the state is the first.
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
