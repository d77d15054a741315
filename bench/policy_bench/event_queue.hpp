#ifndef CAPERJUNCTION_BENCH_EVENT_QUEUE_HPP
#define CAPERJUNCTION_BENCH_EVENT_QUEUE_HPP

#include "model/time.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace caperjunction::bench {

/// Virtual clock and scheduled actions of the simulation. Time advances only to
/// the next action. Actions with equal times run in the order in which they
/// were scheduled, so that a run depends only on its seed.
///
/// Thread safety: none.
class event_queue
{
public:
    using action = std::function<void()>;

    model::time_point now() const
    {
        return m_now;
    }

    /// \pre `when` is not before `now()`.
    void at(model::time_point when, action run);

    /// \pre `delay` is not negative.
    void after(std::chrono::nanoseconds delay, action run);

    /// Runs all actions up to `end` and sets the clock to `end`.
    void run_until(model::time_point end);

private:
    struct entry
    {
        model::time_point when;
        std::uint64_t order = 0;
        action run;
    };

    static bool later(entry const& left, entry const& right);

    std::vector<entry> m_entries;
    model::time_point m_now{};
    std::uint64_t m_order = 0;
};

} // namespace caperjunction::bench

#endif
