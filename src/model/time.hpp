#ifndef CAPERJUNCTION_MODEL_TIME_HPP
#define CAPERJUNCTION_MODEL_TIME_HPP

#include <chrono>

namespace caperjunction::model {

/// A point on the runtime's clock; tests pause and advance that clock.
using time_point = std::chrono::steady_clock::time_point;

/// The resolution of all settings and messages that hold a time.
using milliseconds = std::chrono::milliseconds;

/// Elapsed time as a real number of seconds, for rates and sums.
using seconds = std::chrono::duration<double>;

} // namespace caperjunction::model

#endif
