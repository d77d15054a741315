#ifndef CAPERJUNCTION_MODEL_TIME_HPP
#define CAPERJUNCTION_MODEL_TIME_HPP

#include <chrono>

namespace caperjunction::model {

/// Time point of the runtime clock, which tests can pause and advance.
using time_point = std::chrono::steady_clock::time_point;

/// Resolution of all durations in settings and messages.
using milliseconds = std::chrono::milliseconds;

/// Elapsed seconds as a floating-point number, for rates and sums.
using seconds = std::chrono::duration<double>;

} // namespace caperjunction::model

#endif
