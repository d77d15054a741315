#ifndef CAPERJUNCTION_DECIDE_OVERLOAD_GATE_HPP
#define CAPERJUNCTION_DECIDE_OVERLOAD_GATE_HPP

#include "model/time.hpp"

namespace caperjunction::decide {

/// Distinguishes a short burst from lasting overload of one tier by how long
/// the oldest request has been past its latency target.
///
/// Under saturation, a queue in arrival order holds only requests that are
/// already late, and all capacity produces late answers. While the gate is
/// closed, late requests are refused at once with a retry delay, and the others
/// meet their target. In a short burst no request is refused, because a
/// slightly late answer is better than none.
///
/// Thread safety: none; owned by one task.
class overload_gate
{
public:
    /// Records whether the tier's oldest request is late.
    void observe(bool late, model::time_point now)
    {
        if (late || m_late) {
            m_last_overload = now;
        }
        if (late != m_late) {
            m_late = late;
            m_since = now;
        }
    }

    /// Records a refusal caused by overload.
    void record_refusal(model::time_point now)
    {
        m_last_overload = now;
    }

    /// Updates the gate. Returns whether late requests are to be refused.
    bool is_closed(model::time_point now)
    {
        if (!m_closed && m_late && now - m_since >= close_delay) {
            m_closed = true;
            // Overload that returns sooner than its last period lasted counts
            // as the same period. Counted as a new one, it would give callers a
            // retry delay of a second, in the middle of the overload.
            if (now - m_opened_at > m_opened_at - m_closed_since) {
                m_closed_since = now;
            }
        } else if (m_closed && now - m_last_overload >= reopen_delay) {
            m_closed = false;
            m_opened_at = now;
        }
        return m_closed;
    }

    /// Time since the gate closed; zero while it is open.
    model::milliseconds closed_for(model::time_point now) const
    {
        if (!m_closed) {
            return model::milliseconds{0};
        }
        return std::chrono::duration_cast<model::milliseconds>(
            now - m_closed_since);
    }

private:
    // A burst that fits into one batch is over within this time.
    static constexpr model::milliseconds close_delay{400};
    // Demand above capacity fluctuates. If the gate reopened at once, the queue
    // would fill up and become late again each time.
    static constexpr model::milliseconds reopen_delay{3000};

    bool m_late = false;
    bool m_closed = false;
    model::time_point m_since{};
    model::time_point m_last_overload{};
    model::time_point m_closed_since{};
    model::time_point m_opened_at{};
};

} // namespace caperjunction::decide

#endif
