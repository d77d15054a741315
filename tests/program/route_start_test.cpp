#include "stand_ins/child_process.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <string>
#include <thread>

using namespace caperjunction;
using namespace std::chrono_literals;

namespace {

constexpr auto wait_limit = 10s;

/// Polls `done` until it returns true. Returns false after `wait_limit`.
template <typename Condition>
bool wait_until(Condition const& done)
{
    auto const limit = std::chrono::steady_clock::now() + wait_limit;
    while (std::chrono::steady_clock::now() < limit) {
        if (done()) {
            return true;
        }
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

} // namespace

// The default action of SIGHUP ends a process that has not installed its
// handler yet.
TEST_CASE("a starting host survives the signal to reload its settings")
{
    std::string const path =
        (std::filesystem::temp_directory_path()
         / ("caperjunction-start-" + std::to_string(getpid())))
            .string();
    REQUIRE(mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
    stand_ins::child_process host(PROGRAM_FOLDER "/caperjunction",
                                  {"route", "--config=" + path});
    // Opening succeeds once the host has opened the FIFO for reading.
    int settings = -1;
    CHECK(wait_until([&] {
        settings = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return settings >= 0;
    }));
    host.send_signal(SIGHUP);
    std::this_thread::sleep_for(50ms);
    REQUIRE(!host.has_ended());
    std::string const text = "--host_name=h\n--region=west\n--data_centre=a\n"
                             "--platform=127.0.0.1:1\n"
                             "--listen=127.0.0.1:0\n"
                             "--admin_listen=127.0.0.1:0\n"
                             "--metrics_listen=127.0.0.1:0\n"
                             "--peer_listen=127.0.0.1:0\n";
    CHECK(write(settings, text.data(), text.size())
          == static_cast<ssize_t>(text.size()));
    close(settings);
    std::remove(path.c_str());
    CHECK(wait_until([&] {
        return host.output().find("event=started") != std::string::npos;
    }));
    CHECK(!host.has_ended());
    // Without them, an old program, a clock that is missing and a fault of the
    // program look alike.
    CHECK(host.output().find(" build=") != std::string::npos);
    CHECK(host.output().find(" clock=boottime") != std::string::npos);
}

// An address that `route` can't use was taken for that of all interfaces, and
// offered to everyone what was meant for this machine.
TEST_CASE("an address of the wrong family is refused, not widened")
{
    for (std::string const flag : {"listen", "peer_listen", "tunnel_listen"}) {
        CAPTURE(flag);
        stand_ins::child_process host(PROGRAM_FOLDER "/caperjunction",
                                      {"route",
                                       "--host_name=h",
                                       "--region=west",
                                       "--data_centre=a",
                                       "--platform=127.0.0.1:1",
                                       "--listen=127.0.0.1:0",
                                       "--admin_listen=127.0.0.1:0",
                                       "--metrics_listen=127.0.0.1:0",
                                       "--peer_listen=127.0.0.1:0",
                                       "--" + flag + "=::1:1"});
        CHECK(wait_until([&] {
            return host.has_ended();
        }));
        CHECK(host.output().find("kind=bad_settings") != std::string::npos);
        CHECK(host.output().find("--" + flag) != std::string::npos);
    }
}
