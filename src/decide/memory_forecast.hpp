#ifndef CAPERJUNCTION_DECIDE_MEMORY_FORECAST_HPP
#define CAPERJUNCTION_DECIDE_MEMORY_FORECAST_HPP

#include "decide/entry.hpp"

#include <algorithm>

namespace caperjunction::decide {

/// Forecasts the growth of the KV memory held by this host's requests.
///
/// At the start of a burst of long answers each request holds only its prompt,
/// and an engine that looks half empty is full a minute later. The engine then
/// preempts running requests and recomputes them, and has no memory for the
/// next request of the highest tier.
///
/// Thread safety: none; owned by one task.
class memory_forecast
{
public:
    void add(entry const& running)
    {
        m_current += current_tokens(running);
        m_remaining += running.expected_output - produced_output(running);
    }

    /// \pre added before, and not changed since.
    void remove(entry const& running)
    {
        m_current = std::max(0.0, m_current - current_tokens(running));
        m_remaining = std::max(
            0.0,
            m_remaining - (running.expected_output - produced_output(running)));
    }

    /// Expected growth factor of the memory in use, at least 1.
    double growth() const
    {
        if (m_current <= 0.0) {
            return 1.0;
        }
        return std::min(max_growth,
                        1.0 + concurrent_fraction * m_remaining / m_current);
    }

private:
    // Some requests end before the others reach their full length.
    static constexpr double concurrent_fraction = 0.6;
    static constexpr double max_growth = 2.0;

    static double current_tokens(entry const& running)
    {
        return static_cast<double>(running.prompt_tokens) + running.relayed;
    }

    static double produced_output(entry const& running)
    {
        return std::min(running.expected_output, running.relayed);
    }

    double m_current = 0.0;
    double m_remaining = 0.0;
};

} // namespace caperjunction::decide

#endif
