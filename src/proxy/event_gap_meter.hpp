#ifndef CAPERJUNCTION_PROXY_EVENT_GAP_METER_HPP
#define CAPERJUNCTION_PROXY_EVENT_GAP_METER_HPP

#include "model/time.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace caperjunction::proxy {

/// Measures the longest time between two events of a stream.
///
/// An engine that prefills long prompts while it serves a stream delivers the
/// stream's events in bursts. The first event is on time in that case, so only
/// the gaps show the delay that the caller sees.
///
/// Thread safety: none; owned by one task.
class event_gap_meter
{
public:
    /// Records events received at `now`. Returns the gap before them.
    std::optional<model::time_point::duration> record(model::time_point now)
    {
        auto const last = std::exchange(m_last, now);
        if (!last) {
            return std::nullopt;
        }
        m_longest = std::max(m_longest, now - *last);
        return now - *last;
    }

    /// Returns zero if there was no second event.
    model::milliseconds longest() const
    {
        return std::chrono::duration_cast<model::milliseconds>(m_longest);
    }

private:
    std::optional<model::time_point> m_last;
    model::time_point::duration m_longest{0};
};

} // namespace caperjunction::proxy

#endif
