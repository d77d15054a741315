#ifndef CAPERJUNCTION_STAND_INS_LOAD_HISTORY_HPP
#define CAPERJUNCTION_STAND_INS_LOAD_HISTORY_HPP

#include <chrono>
#include <cstdint>
#include <deque>

namespace caperjunction::stand_ins {

/// History of an engine's load, which is reported with a lag.
///
/// Thread safety: none.
class load_history
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    struct load
    {
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        /// Fraction of the cache memory in use, 0..1.
        double kv_used = 0.0;
        time_point at{};
    };

    explicit load_history(std::chrono::milliseconds lag)
        : m_lag(lag)
    {
    }

    /// Records a change of the load. \pre change.at is not before that of
    /// earlier changes.
    void record(load const& change)
    {
        m_loads.push_back(change);
        while (m_loads.size() > 1 && m_loads[1].at + m_lag <= change.at) {
            m_loads.pop_front();
        }
    }

    /// Returns the newest load that is at least `lag()` old, or a zero load
    /// if there is none.
    load read(time_point now) const
    {
        load newest;
        for (load const& item : m_loads) {
            if (item.at + m_lag <= now) {
                newest = item;
            }
        }
        return newest;
    }

    std::chrono::milliseconds lag() const
    {
        return m_lag;
    }

private:
    std::chrono::milliseconds m_lag;
    std::deque<load> m_loads;
};

} // namespace caperjunction::stand_ins

#endif
