#ifndef CAPERJUNCTION_DECIDE_OVERLOAD_GATE_HPP
#define CAPERJUNCTION_DECIDE_OVERLOAD_GATE_HPP

#include "model/time.hpp"

namespace caperjunction::decide {

/// Tells a short burst from lasting overload of one tier, by how long its
/// oldest request has been past its latency target.
///
/// Made for saturation: a queue in order of arrival then holds only requests
/// that are late already, so that all capacity goes into answers that come
/// too late. While the gate is shut, what is late is refused at once and told
/// when to come back, and the rest keeps its target. In a short burst nothing
/// is refused: a slightly late answer is better than none.
///
/// Thread safety: none; owned by one task.
class overload_gate
{
public:
    /// Notes whether the tier's oldest request is late.
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

    /// Notes that a request was refused for overload.
    void record_refusal(model::time_point now)
    {
        m_last_overload = now;
    }

    /// Whether late requests are to be refused.
    bool is_closed(model::time_point now)
    {
        if (!m_closed && m_late && now - m_since >= close_delay) {
            m_closed = true;
            // Overload that is back within the length of its last spell is
            // the same one. Counted anew, it would tell callers to come back
            // in a second, into its middle.
            if (now - m_opened_at > m_opened_at - m_closed_since) {
                m_closed_since = now;
            }
        } else if (m_closed && now - m_last_overload >= reopen_delay) {
            m_closed = false;
            m_opened_at = now;
        }
        return m_closed;
    }

    /// How long it has been shut; zero while it is open.
    model::milliseconds closed_for(model::time_point now) const
    {
        if (!m_closed) {
            return model::milliseconds{0};
        }
        return std::chrono::duration_cast<model::milliseconds>(
            now - m_closed_since);
    }

private:
    // A burst that one batch's turnover absorbs is over by then.
    static constexpr model::milliseconds close_delay{400};
    // Demand above capacity comes and goes; opening at once would let the
    // queue fill up and run late anew each time.
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
