#include "runtime/clock_source.hpp"

#include <ctime>

namespace caperjunction::runtime {
namespace {

std::optional<model::time_point> read_clock(clockid_t id)
{
    timespec now{};
    if (clock_gettime(id, &now) != 0) {
        return std::nullopt;
    }
    return model::time_point(
        std::chrono::duration_cast<model::time_point::duration>(
            std::chrono::seconds(now.tv_sec)
            + std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace

clock_source boot_clock()
{
    return {"boottime", [] {
                return read_clock(CLOCK_BOOTTIME);
            }};
}

clock_source time_of_day()
{
    return {"time_of_day", [] {
                return read_clock(CLOCK_REALTIME);
            }};
}

clock_source steady_clock()
{
    return {"steady", [] {
                return std::optional(std::chrono::steady_clock::now());
            }};
}

} // namespace caperjunction::runtime
