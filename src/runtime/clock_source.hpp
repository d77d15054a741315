#ifndef CAPERJUNCTION_RUNTIME_CLOCK_SOURCE_HPP
#define CAPERJUNCTION_RUNTIME_CLOCK_SOURCE_HPP

#include "model/time.hpp"

#include <functional>
#include <optional>
#include <string_view>

namespace caperjunction::runtime {

/// Clock of the system that goes on while the host is suspended. A read may
/// fail: the kernel, or a filter of system calls, may not know the clock.
struct clock_source
{
    std::string_view name;
    /// Returns std::nullopt if the clock can't be read.
    std::function<std::optional<model::time_point>()> read;
};

/// CLOCK_BOOTTIME.
clock_source boot_clock();

/// CLOCK_REALTIME, which may jump in both directions.
clock_source time_of_day();

/// The steady clock, for a lease clock that is to do without suspended time.
clock_source steady_clock();

} // namespace caperjunction::runtime

#endif
