#ifndef CAPERJUNCTION_PROGRAM_CLOCK_LOG_HPP
#define CAPERJUNCTION_PROGRAM_CLOCK_LOG_HPP

#include "runtime/lease_clock.hpp"

#include <string_view>

namespace caperjunction::program {

/// Returns hooks that log faults of the clock `source`.
runtime::lease_clock_hooks log_clock_faults(std::string_view source);

} // namespace caperjunction::program

#endif
