// Linked into a copy of the program with --wrap=clock_gettime: its reads of
// CLOCK_BOOTTIME misbehave as TEST_CLOCK_FAULT says. All other clocks are
// sound, also for libraries.

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <string_view>

// The names that the linker gives to the function and to what replaces it.
int real_clock_gettime(clockid_t id, timespec* now) asm("__real_clock_gettime");
int faulty_clock_gettime(clockid_t id,
                         timespec* now) asm("__wrap_clock_gettime");

namespace {

using std::chrono::nanoseconds;

/// Time since the first read after which "fails_later", "back" and "suspended"
/// begin.
nanoseconds sound_time()
{
    constexpr std::chrono::milliseconds by_default{500};
    char const* const text = std::getenv("TEST_CLOCK_SOUND_MS");
    return text == nullptr ? by_default
                           : std::chrono::milliseconds(std::atoi(text));
}

std::string_view fault()
{
    static char const* const s_fault = std::getenv("TEST_CLOCK_FAULT");
    return s_fault == nullptr ? "" : s_fault;
}

bool is_refused(nanoseconds since_first)
{
    return fault() == "fails"
           || (fault() == "fails_later" && since_first > sound_time());
}

nanoseconds distort(nanoseconds since_first)
{
    if (fault() == "stands") {
        return nanoseconds{0};
    }
    if (fault() == "half") {
        return since_first / 2;
    }
    if (fault() == "back" && since_first > sound_time()) {
        return since_first - std::chrono::seconds(4);
    }
    if (fault() == "suspended" && since_first > sound_time()) {
        return since_first + std::chrono::minutes(2);
    }
    if (fault() == "ahead") {
        return since_first * 2;
    }
    return since_first;
}

} // namespace

int faulty_clock_gettime(clockid_t id, timespec* now)
{
    int const result = real_clock_gettime(id, now);
    if (id != CLOCK_BOOTTIME || result != 0 || fault().empty()) {
        return result;
    }
    nanoseconds const sound =
        std::chrono::seconds(now->tv_sec) + nanoseconds(now->tv_nsec);
    static nanoseconds const s_first = sound;
    if (is_refused(sound - s_first)) {
        errno = EINVAL;
        return -1;
    }
    nanoseconds const shown = s_first + distort(sound - s_first);
    constexpr auto per_second = nanoseconds(std::chrono::seconds(1)).count();
    now->tv_sec = static_cast<std::time_t>(shown.count() / per_second);
    now->tv_nsec = static_cast<long>(shown.count() % per_second);
    return 0;
}
