#ifndef CAPERJUNCTION_DECIDE_REPLAY_HPP
#define CAPERJUNCTION_DECIDE_REPLAY_HPP

#include <string>
#include <string_view>

namespace caperjunction::decide {

/// Feeds a recorded session to a new router and returns its decisions, one per
/// line, each prefixed with the time in milliseconds.
///
/// The session has one event per line: the time in milliseconds and key=value
/// pairs. Ticks are generated in between. `#` begins a comment. Events:
///
///     0 tier name=counter share=0.4
///     0 class name=question tier=counter first_token=490 max_wait=5000
///     0 lists
///     0 engine name=e1 region=west model=draft slots=2
///     0 service name=s1 region=west service=ledger
///     0 upstreams
///     5 arrive id=1 class=question team=a model=draft prompt=100 output=50
///     9 tokens id=1 count=3
///     20 end id=1 upstream=e1 how=complete
///     30 lost engine=e1
///     40 cancel id=1
///     50 tick
///
/// `arrive` accepts service=NAME instead of model, repeatable=0, fingerprint=N.
/// `end` accepts how=complete|refused|unreachable|broken|failed|cancelled and
/// relayed=N.
///
/// \throws model::error that names the line if a line cannot be parsed.
/// Thread safety: no shared state.
std::string replay(std::string_view session);

} // namespace caperjunction::decide

#endif
