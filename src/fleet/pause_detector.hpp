#ifndef CAPERJUNCTION_FLEET_PAUSE_DETECTOR_HPP
#define CAPERJUNCTION_FLEET_PAUSE_DETECTOR_HPP

#include "model/time.hpp"

namespace caperjunction::fleet {

/// Notices that a task slept for too long between two wake-ups.
///
/// Made for a process that is stopped and goes on later (a frozen virtual
/// machine, memory pressure, SIGSTOP): it still believes what it knew, and
/// would dispatch by an old view, order engines that have another orderer by
/// now, or answer "not run" for what another host runs. One notices it as
/// two hosts acting for the same thing. Each task asks `may_act` before
/// anything leaves; after a long gap that is false until `refreshed`.
///
/// Thread safety: none; each task has its own.
class pause_detector
{
public:
    /// \pre limit is above the longest time between two ordinary wake-ups.
    explicit pause_detector(model::milliseconds limit)
        : m_limit(limit)
    {
    }

    /// Notes a wake-up; true if the gap before it was too long. To be called
    /// first in every wake-up, before any queued message is looked at.
    bool record_wakeup(model::time_point now)
    {
        bool const gap = m_started && now - m_last > m_limit;
        m_started = true;
        m_last = now;
        m_outdated = m_outdated || gap;
        return gap;
    }

    /// The view and the revision have been confirmed since the last gap.
    void refreshed()
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
