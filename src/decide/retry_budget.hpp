#ifndef CAPERJUNCTION_DECIDE_RETRY_BUDGET_HPP
#define CAPERJUNCTION_DECIDE_RETRY_BUDGET_HPP

#include "model/time.hpp"

#include <algorithm>

namespace caperjunction::decide {

/// Limits the retries of one class to a fraction of its first attempts.
///
/// When engines crash or are unreachable, unlimited retries multiply the load
/// while capacity is lowest, and every class misses its target. The minimum
/// pays for the other requests of one crashed engine: they did not cause the
/// crash, and each is entitled to its complete answer.
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

    /// Consumes one retry. Returns false if the budget is exhausted.
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
    // One batch of an engine: requests of one host in flight at a crash.
    static constexpr double min_retries = 64.0;
    static constexpr double max_retries = 256.0;
    static constexpr double window_seconds = 10.0;

    // Returns the level to the minimum over the window, so that neither a calm
    // period pays for later retries nor an exhausted class stays without them.
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
