#include "program/clock_log.hpp"

#include "runtime/log_line.hpp"

namespace caperjunction::program {

runtime::lease_clock_hooks log_clock_faults(std::string_view source)
{
    runtime::lease_clock_hooks hooks;
    hooks.on_lost = [source] {
        runtime::log_line("clock_lost").field("clock", source);
    };
    hooks.on_regained = [source] {
        runtime::log_line("clock_regained").field("clock", source);
    };
    hooks.on_behind = [source](model::milliseconds behind) {
        runtime::log_line("clock_behind")
            .field("clock", source)
            .field("behind_ms", behind.count());
    };
    return hooks;
}

} // namespace caperjunction::program
