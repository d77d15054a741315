#ifndef CAPERJUNCTION_DECIDE_MEMORY_FORECAST_HPP
#define CAPERJUNCTION_DECIDE_MEMORY_FORECAST_HPP

#include "decide/entry.hpp"

#include <algorithm>

namespace caperjunction::decide {

/// How much the KV memory that this host's requests hold will still grow.
///
/// Made for a burst of long answers: just after it starts each holds its
/// prompt alone, and an engine that looks half empty is full a minute later.
/// It then puts running work back and computes it anew, and has no memory for
/// the highest tier's next request.
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

    /// \pre added, and not changed since.
    void remove(entry const& running)
    {
        m_current = std::max(0.0, m_current - current_tokens(running));
        m_remaining = std::max(
            0.0,
            m_remaining - (running.expected_output - produced_output(running)));
    }

    /// Factor on the memory in use now, 1 or more.
    double growth() const
    {
        if (m_current <= 0.0) {
            return 1.0;
        }
        return std::min(max_growth,
                        1.0 + concurrent_fraction * m_remaining / m_current);
    }

private:
    // By the time that the last has grown, some of the first have ended.
    static constexpr double concurrent_fraction = 0.6;
    static constexpr double max_growth = 2.0;

    static double current_tokens(entry const& running)
    {
        return static_cast<double>(running.prompt_tokens)
               + running.relayed_tokens;
    }

    static double produced_output(entry const& running)
    {
        return std::min(running.expected_output, running.relayed_tokens);
    }

    double m_current = 0.0;
    double m_remaining = 0.0;
};

} // namespace caperjunction::decide

#endif
