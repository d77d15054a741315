#ifndef CAPERJUNCTION_DECIDE_DECAYING_RATE_HPP
#define CAPERJUNCTION_DECIDE_DECAYING_RATE_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::decide {

/// Exponentially decaying event rate per second with time constant `horizon`.
///
/// Thread safety: none; owned by one task.
class decaying_rate
{
public:
    explicit decaying_rate(model::milliseconds horizon)
        : m_horizon(model::seconds(horizon).count())
    {
    }

    void add(double amount, model::time_point now)
    {
        m_sum = decayed_sum(now) + amount;
        m_updated = std::max(m_updated, now);
    }

    double per_second(model::time_point now) const
    {
        return decayed_sum(now) / m_horizon;
    }

private:
    double decayed_sum(model::time_point now) const
    {
        if (now <= m_updated) {
            return m_sum;
        }
        double const age = model::seconds(now - m_updated).count();
        return m_sum * std::exp(-age / m_horizon);
    }

    double m_horizon;
    double m_sum = 0.0;
    model::time_point m_updated{};
};

} // namespace caperjunction::decide

#endif
