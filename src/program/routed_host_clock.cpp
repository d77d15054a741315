#include "program/routed_host.hpp"

#include "runtime/log_line.hpp"

namespace caperjunction::program {

runtime::lease_clock_hooks routed_host::clock_hooks()
{
    runtime::lease_clock_hooks hooks;
    hooks.on_lost = [this] {
        m_context.keys.clock_lost();
        runtime::log_line("clock_lost").field("clock", m_lease_clock.source());
    };
    hooks.on_regained = [this] {
        m_context.keys.clock_regained();
        runtime::log_line("clock_regained")
            .field("clock", m_lease_clock.source());
    };
    hooks.on_behind = [this](model::milliseconds behind) {
        runtime::log_line("clock_behind")
            .field("clock", m_lease_clock.source())
            .field("behind_ms", behind.count());
    };
    return hooks;
}

} // namespace caperjunction::program
