#ifndef CAPERJUNCTION_DECIDE_MOVING_AVERAGE_HPP
#define CAPERJUNCTION_DECIDE_MOVING_AVERAGE_HPP

#include <cstdint>

namespace caperjunction::decide {

/// Exponentially weighted mean. The first samples form a plain mean.
///
/// Thread safety: none; owned by one task.
class moving_average
{
public:
    /// \pre 0 < weight <= 1, the weight of each new sample.
    explicit moving_average(double weight = 0.05)
        : m_weight(weight)
    {
    }

    void add(double sample)
    {
        ++m_samples;
        double const mean_weight = 1.0 / m_samples;
        double const sample_weight =
            mean_weight > m_weight ? mean_weight : m_weight;
        m_value += (sample - m_value) * sample_weight;
    }

    /// Discards all samples.
    void reset()
    {
        m_value = 0.0;
        m_samples = 0;
    }

    std::uint32_t samples() const
    {
        return m_samples;
    }

    /// Returns `default_value` without samples.
    double value_or(double default_value) const
    {
        return m_samples == 0 ? default_value : m_value;
    }

private:
    double m_weight;
    double m_value = 0.0;
    std::uint32_t m_samples = 0;
};

} // namespace caperjunction::decide

#endif
