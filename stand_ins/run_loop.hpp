#ifndef CAPERJUNCTION_STAND_INS_RUN_LOOP_HPP
#define CAPERJUNCTION_STAND_INS_RUN_LOOP_HPP

#include "model/time.hpp"
#include "runtime/event_loop.hpp"

#include <functional>

namespace caperjunction::stand_ins {

/// Runs the loop until `done` returns true. Returns false after 30 s, which
/// only a test that hangs reaches.
///
/// Thread safety: none; for the thread that owns the loop.
bool run_until(runtime::event_loop& loop, std::function<bool()> const& done);

/// Runs the loop for about `time`.
void run_for(runtime::event_loop& loop, model::milliseconds time);

} // namespace caperjunction::stand_ins

#endif
