#ifndef CAPERJUNCTION_RUNTIME_CLOCK_HPP
#define CAPERJUNCTION_RUNTIME_CLOCK_HPP

#include "model/time.hpp"

#include <chrono>
#include <functional>

namespace caperjunction::runtime {

/// Source of all time points. Tests replace `now` with their own function.
struct clock
{
    std::function<model::time_point()> now = [] {
        return std::chrono::steady_clock::now();
    };
};

} // namespace caperjunction::runtime

#endif
