#ifndef CAPERJUNCTION_DECIDE_RETRY_BUDGET_HPP
#define CAPERJUNCTION_DECIDE_RETRY_BUDGET_HPP

#include "model/time.hpp"

#include <algorithm>

namespace caperjunction::decide {

/// Bounds the retries of one class to a share of its first attempts.
///
/// Made for crashing and unreachable engines: unbounded retries multiply the
/// load when capacity is lowest, and every class misses its target together.
/// The floor pays for the neighbours of one crash: they did nothing wrong,
/// and each is owed its whole answer.
///
/// Thread safety: none; owned by one task.
class retry_budget
{
public:
    void record_attempt(double ratio, model::time_point now)
    {
        decay(now);
        m_tokens = std::min(m_tokens + ratio, max_retries);
    }

    /// Takes one retry; false if none may be made.
    bool try_acquire(model::time_point now)
    {
        decay(now);
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    // A batch of today's engines in flight at a crash, on one host.
    static constexpr double min_retries = 64.0;
    static constexpr double max_retries = 256.0;
    static constexpr double window_seconds = 10.0;

    // Yesterday's calm must not pay for a storm now, nor a drained class stay
    // without retries: the level returns to the floor over the window.
    void decay(model::time_point now)
    {
        double const age = model::seconds(now - m_updated).count();
        double const remaining =
            std::clamp(1.0 - age / window_seconds, 0.0, 1.0);
        m_tokens = min_retries + (m_tokens - min_retries) * remaining;
        m_updated = now;
    }

    double m_tokens = min_retries;
    model::time_point m_updated{};
};

} // namespace caperjunction::decide

#endif
