#include "runtime/signal_time.hpp"

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>

namespace caperjunction::runtime {
namespace {

std::atomic<std::int64_t> s_first_delivery{0};
std::array<struct sigaction, NSIG> s_previous_actions{};

static_assert(std::atomic<std::int64_t>::is_always_lock_free,
              "a signal handler must not take locks");

void handle_signal(int signal)
{
    int const saved_errno = errno;
    std::int64_t unset = 0;
    s_first_delivery.compare_exchange_strong(
        unset, std::chrono::steady_clock::now().time_since_epoch().count());
    auto const previous =
        s_previous_actions[static_cast<std::size_t>(signal)].sa_handler;
    if (previous != SIG_DFL && previous != SIG_IGN) {
        previous(signal);
    }
    errno = saved_errno;
}

} // namespace

void record_signal_time(int signal)
{
    struct sigaction action
    {
    };

    action.sa_handler = handle_signal;
    action.sa_flags = SA_RESTART;
    sigfillset(&action.sa_mask);
    sigaction(
        signal, &action, &s_previous_actions[static_cast<std::size_t>(signal)]);
}

model::time_point first_signal_time(model::time_point fallback)
{
    std::int64_t const count = s_first_delivery.load();
    return count == 0 ? fallback
                      : model::time_point(model::time_point::duration(count));
}

} // namespace caperjunction::runtime
