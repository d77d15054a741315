#ifndef CAPERJUNCTION_RUNTIME_MANUAL_CLOCK_HPP
#define CAPERJUNCTION_RUNTIME_MANUAL_CLOCK_HPP

#include "model/time.hpp"
#include "runtime/clock.hpp"

#include <memory>

namespace caperjunction::runtime {

/// Clock that changes only when a test advances it.
///
/// Thread safety: none; for single-threaded tests.
class manual_clock
{
public:
    clock as_clock() const
    {
        return clock{[now = m_now] {
            return *now;
        }};
    }

    void advance(model::milliseconds by)
    {
        *m_now += by;
    }

    model::time_point now() const
    {
        return *m_now;
    }

private:
    // One hour after the epoch: a zero time point means "unset" in many fields
    // and must differ from every time that a test sees.
    std::shared_ptr<model::time_point> m_now =
        std::make_shared<model::time_point>(std::chrono::hours(1));
};

} // namespace caperjunction::runtime

#endif
