#ifndef CAPERJUNCTION_RUNTIME_SIGNAL_TIME_HPP
#define CAPERJUNCTION_RUNTIME_SIGNAL_TIME_HPP

#include "model/time.hpp"

namespace caperjunction::runtime {

/// Notes when `signal` is delivered to the process, then calls the handler
/// that was installed before. A busy loop handles a signal later than it came,
/// and time limits count from its delivery.
///
/// \pre A handler for `signal` is installed, and replaced by nobody later.
/// Thread safety: none.
void record_signal_time(int signal);

/// When the first signal that is stamped was delivered, by the steady clock;
/// `otherwise` if none was. Thread safety: any thread.
model::time_point first_signal_time(model::time_point otherwise);

} // namespace caperjunction::runtime

#endif
