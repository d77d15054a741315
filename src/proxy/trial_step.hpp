#ifndef CAPERJUNCTION_PROXY_TRIAL_STEP_HPP
#define CAPERJUNCTION_PROXY_TRIAL_STEP_HPP

#include <cstdint>

namespace caperjunction::proxy {

/// What a request does next that may have to run as a trial.
enum class trial_step : std::uint8_t
{
    /// It needs no trial.
    none,
    run,
    /// It must claim its trial first.
    claim,
    /// Another trial runs, or no upstream is free for one.
    wait,
};

} // namespace caperjunction::proxy

#endif
