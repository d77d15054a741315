#include "runtime/signal_time.hpp"

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>

namespace caperjunction::runtime {
namespace {

std::atomic<std::int64_t> s_delivered{0};
std::array<struct sigaction, NSIG> s_before{};

static_assert(std::atomic<std::int64_t>::is_always_lock_free,
              "the handler may do nothing that locks");

void note(int signal)
{
    int const kept = errno;
    std::int64_t none = 0;
    s_delivered.compare_exchange_strong(
        none, std::chrono::steady_clock::now().time_since_epoch().count());
    auto const before = s_before[static_cast<std::size_t>(signal)].sa_handler;
    if (before != SIG_DFL && before != SIG_IGN) {
        before(signal);
    }
    errno = kept;
}

} // namespace

void record_signal_time(int signal)
{
    struct sigaction with
    {
    };

    with.sa_handler = note;
    with.sa_flags = SA_RESTART;
    sigfillset(&with.sa_mask);
    sigaction(signal, &with, &s_before[static_cast<std::size_t>(signal)]);
}

model::time_point first_signal_time(model::time_point otherwise)
{
    std::int64_t const count = s_delivered.load();
    return count == 0 ? otherwise
                      : model::time_point(model::time_point::duration(count));
}

} // namespace caperjunction::runtime
