#ifndef CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_STEP_HPP
#define CAPERJUNCTION_BENCH_CLAIMS_EXPLORER_STEP_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace caperjunction::claims_explorer {

/// Kinds of steps in a history.
enum class step_kind : std::uint8_t
{
    deliver,
    deliver_twice,
    hold,
    drop,
    start,
    dispatch_runs,
    dispatch_refused,
    end,
    publish,
    adopt,
    adopt_newest,
    leave,
    crash,
    restart,
    leap,
    wake,
    confirm,
};

/// One step. `index` selects a message, a host or a clock jump; `host` is the
/// host that is paused during a clock jump, or `no_host`.
struct step
{
    static constexpr std::size_t no_host = 99;

    step_kind kind = step_kind::deliver;
    std::size_t index = 0;
    std::size_t host = no_host;
};

/// Returns the text of a step for the history of a violation.
std::string describe(step const& what);

} // namespace caperjunction::claims_explorer

#endif
