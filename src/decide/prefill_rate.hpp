#ifndef CAPERJUNCTION_DECIDE_PREFILL_RATE_HPP
#define CAPERJUNCTION_DECIDE_PREFILL_RATE_HPP

#include "model/time.hpp"

#include <algorithm>

namespace caperjunction::decide {

/// Prompt tokens per second computed by the engines of one model.
///
/// One estimate is shared by all engines of a model. A single engine yields few
/// samples, and a host that relied on them would keep using the engines that it
/// tried first. The estimate tracks a quantile, since a sample is too low
/// whenever another host's prompt is ahead in the engine.
///
/// Thread safety: none; owned by one task.
class prefill_rate
{
public:
    /// `computed` is the number of prompt tokens not found in the cache.
    void observe(double computed, model::seconds first_token)
    {
        double const time = std::max(min_seconds, first_token.count());
        if (computed < min_tokens) {
            return;
        }
        double const sample = computed / time;
        m_rate *= sample > m_rate ? 1.0 + adjustment_step * quantile
                                  : 1.0 - adjustment_step * (1.0 - quantile);
        m_rate = std::clamp(m_rate, min_rate, max_rate);
    }

    double tokens_per_second() const
    {
        return m_rate;
    }

private:
    static constexpr double quantile = 0.5;
    static constexpr double adjustment_step = 0.05;
    static constexpr double min_tokens = 192.0;
    static constexpr double min_seconds = 0.001;
    static constexpr double min_rate = 200.0;
    static constexpr double max_rate = 500'000.0;

    double m_rate = 8000.0;
};

} // namespace caperjunction::decide

#endif
