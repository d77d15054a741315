#ifndef CAPERJUNCTION_ROUTING_SHORTEST_GAP_HPP
#define CAPERJUNCTION_ROUTING_SHORTEST_GAP_HPP

#include "model/time.hpp"

#include <algorithm>
#include <chrono>

namespace caperjunction::routing {

/// The shortest gap that was recorded within the last 10 to 20 s: long enough
/// for a busy engine to serve a stream without prompts beside it once, and
/// short enough to notice an engine that has become slower.
///
/// Thread safety: none; owned by one task.
class shortest_gap
{
public:
    static constexpr std::chrono::seconds period{10};

    void record(double ms, model::time_point now)
    {
        rotate(now);
        m_current = shorter(m_current, ms);
    }

    /// Returns the gap in milliseconds; zero if none was recorded.
    double ms(model::time_point now) const
    {
        auto const age = now - m_began;
        if (age >= 2 * period) {
            return 0.0;
        }
        return age >= period ? m_current : shorter(m_current, m_previous);
    }

private:
    static double shorter(double left, double right)
    {
        return left > 0.0 && right > 0.0 ? std::min(left, right)
                                         : std::max(left, right);
    }

    void rotate(model::time_point now)
    {
        auto const age = now - m_began;
        if (age < period) {
            return;
        }
        m_previous = age < 2 * period ? m_current : 0.0;
        m_current = 0.0;
        m_began +=
            age / period
            * std::chrono::duration_cast<model::time_point::duration>(period);
    }

    /// Of the current and of the previous period; zero: none.
    double m_current = 0.0;
    double m_previous = 0.0;
    model::time_point m_began{};
};

} // namespace caperjunction::routing

#endif
