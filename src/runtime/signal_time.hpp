#ifndef CAPERJUNCTION_RUNTIME_SIGNAL_TIME_HPP
#define CAPERJUNCTION_RUNTIME_SIGNAL_TIME_HPP

#include "model/time.hpp"

namespace caperjunction::runtime {

/// Records the time at which `signal` is first delivered to the process and
/// forwards each delivery to the previously installed handler. Time limits
/// count from the delivery, because a busy event loop handles a signal late.
///
/// \pre A handler for `signal` is installed and is not replaced afterwards.
/// Thread safety: none.
void record_signal_time(int signal);

/// Returns the steady-clock time of the first delivery of a recorded signal, or
/// `fallback` if there was none. Thread safety: any thread.
model::time_point first_signal_time(model::time_point fallback);

} // namespace caperjunction::runtime

#endif
