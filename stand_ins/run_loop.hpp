#ifndef CAPERJUNCTION_STAND_INS_RUN_LOOP_HPP
#define CAPERJUNCTION_STAND_INS_RUN_LOOP_HPP

#include "model/time.hpp"
#include "runtime/event_loop.hpp"

#include <functional>

namespace caperjunction::stand_ins {

/// Runs the loop until `done` holds; false if it didn't within a limit that
/// only a hanging test reaches.
///
/// Thread safety: none; for the thread that owns the loop.
bool run_until(runtime::event_loop& loop, std::function<bool()> const& done);

/// Runs the loop for about that long, whatever happens.
void run_for(runtime::event_loop& loop, model::milliseconds time);

} // namespace caperjunction::stand_ins

#endif
