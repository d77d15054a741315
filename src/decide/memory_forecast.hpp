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
        m_held += held(running);
        m_expected += running.expected_output - waiting_output(running);
    }

    /// \pre added, and not changed since.
    void remove(entry const& running)
    {
        m_held = std::max(0.0, m_held - held(running));
        m_expected = std::max(
            0.0,
            m_expected - (running.expected_output - waiting_output(running)));
    }

    /// Factor on the memory in use now, 1 or more.
    double growth() const
    {
        if (m_held <= 0.0) {
            return 1.0;
        }
        return std::min(most, 1.0 + still_running * m_expected / m_held);
    }

private:
    // By the time that the last has grown, some of the first have ended.
    static constexpr double still_running = 0.6;
    static constexpr double most = 2.0;

    static double held(entry const& running)
    {
        return static_cast<double>(running.prompt_tokens) + running.relayed;
    }

    static double waiting_output(entry const& running)
    {
        return std::min(running.expected_output, running.relayed);
    }

    double m_held = 0.0;
    double m_expected = 0.0;
};

} // namespace caperjunction::decide

#endif
