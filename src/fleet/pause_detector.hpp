#ifndef CAPERJUNCTION_FLEET_PAUSE_DETECTOR_HPP
#define CAPERJUNCTION_FLEET_PAUSE_DETECTOR_HPP

#include "model/time.hpp"

namespace caperjunction::fleet {

/// Detects that a task was paused for too long between two wake-ups.
///
/// A process may be stopped and resumed later (frozen virtual machine, memory
/// pressure, SIGSTOP). It then acts by its old state: dispatches by an old
/// view, orders engines that have another orderer by now, or answers "not run"
/// for a call that another host runs. Symptom: two hosts act for the same call
/// or engine. Each task checks `is_current` before it sends anything; after a
/// long gap it is false until `mark_refreshed`.
///
/// Thread safety: none; each task has its own.
class pause_detector
{
public:
    /// \pre limit is above the maximum time between two regular wake-ups.
    explicit pause_detector(model::milliseconds limit)
        : m_limit(limit)
    {
    }

    /// Records a wake-up. Returns true if the gap before it exceeded the limit.
    /// Has to be called first in every wake-up, before any queued message is
    /// handled.
    bool record_wakeup(model::time_point now)
    {
        bool const gap = m_started && now - m_last > m_limit;
        m_started = true;
        m_last = now;
        m_outdated = m_outdated || gap;
        return gap;
    }

    /// Marks the state as current: view and revision have been confirmed since
    /// the last gap.
    void mark_refreshed()
    {
        m_outdated = false;
    }

    bool is_current() const
    {
        return !m_outdated;
    }

private:
    model::milliseconds m_limit;
    model::time_point m_last{};
    bool m_started = false;
    bool m_outdated = false;
};

} // namespace caperjunction::fleet

#endif
