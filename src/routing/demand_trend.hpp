#ifndef CAPERJUNCTION_ROUTING_DEMAND_TREND_HPP
#define CAPERJUNCTION_ROUTING_DEMAND_TREND_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace caperjunction::routing {

/// Expects a number of running requests, or the work of requests, ahead of its
/// reports.
///
/// Reports of other hosts are some tenths of a second old. In a burst, requests
/// that are placed by them exceed the capacity that was set aside before it
/// grows. The expectation therefore follows the slope of a rise, and falls
/// slowly: capacity that is given up too early has to be set aside again.
///
/// Thread safety: none; owned by one task.
class demand_trend
{
public:
    /// Records a report: the number of running requests, or their work, to
    /// which each request adds `unit` on average. `unit` must be positive.
    void record(double count, model::time_point now, double unit = 1.0)
    {
        if (!m_recorded_at) {
            m_count = count;
            m_expected = count;
            m_recorded_at = now;
            return;
        }
        double const elapsed = model::seconds(now - *m_recorded_at).count();
        if (elapsed <= 0.0) {
            return;
        }
        double const weight =
            1.0 - std::exp2(-elapsed / slope_half_life_seconds);
        m_slope += ((count - m_count) / elapsed - m_slope) * weight;
        m_count = count;
        m_recorded_at = now;
        // Streams begin and end by chance also if the demand is constant.
        double const chance = 2.0 * std::sqrt(count * unit);
        double const ahead =
            count + std::max(0.0, m_slope * lead_seconds - chance);
        double const fallen =
            m_expected * std::exp2(-elapsed / fall_half_life_seconds);
        m_expected = std::max(ahead, fallen);
    }

    /// Returns the value to expect, at least the recorded one.
    double expected() const
    {
        return m_expected;
    }

private:
    /// Age of reports, and the time in which more of them arrive.
    static constexpr double lead_seconds = 1.0;
    static constexpr double slope_half_life_seconds = 0.3;
    static constexpr double fall_half_life_seconds = 3.0;

    double m_count = 0.0;
    double m_slope = 0.0;
    double m_expected = 0.0;
    std::optional<model::time_point> m_recorded_at;
};

} // namespace caperjunction::routing

#endif
