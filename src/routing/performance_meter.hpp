#ifndef CAPERJUNCTION_ROUTING_PERFORMANCE_METER_HPP
#define CAPERJUNCTION_ROUTING_PERFORMANCE_METER_HPP

#include "model/time.hpp"
#include "routing/upstream_performance.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace caperjunction::routing {

/// Measures the performance of an upstream from this host's own requests.
///
/// An engine may be slower than similar engines, or slow down for some seconds,
/// without reporting it. Requests sent there then wait for several times their
/// forecast, and events of its streams arrive irregularly. The meter uses the
/// delay of first events, before the first one the requests that wait longer
/// than forecast, and the gaps between events of running streams.
///
/// Thread safety: none; owned by one task.
class performance_meter
{
public:
    using ticket = std::uint64_t;

    /// Records a request whose first event is expected after `forecast`.
    ticket begin(model::time_point now, model::milliseconds forecast);

    /// Records the first event of a request.
    void end(ticket waiting, model::time_point now);

    /// Discards a request whose first event will not arrive.
    void drop(ticket waiting);

    /// Records the time between two events of a stream.
    void record_gap(model::milliseconds gap, model::time_point now);

    upstream_performance performance(model::time_point now) const;

    /// Returns the ratio of wait to forecast of the most overdue request, or of
    /// the last one that has begun since `since`; nothing if there is none.
    std::optional<double> recent_ratio(model::time_point since,
                                       model::time_point now) const;

private:
    struct wait
    {
        model::time_point sent_at{};
        /// For an upstream at nominal performance.
        model::milliseconds forecast{0};
    };

    double overdue(model::time_point now) const;
    model::milliseconds longest_gap(model::time_point now) const;

    std::map<ticket, wait> m_waiting;
    ticket m_next = 0;
    double m_slowdown = 1.0;
    double m_last_ratio = 1.0;
    std::optional<model::time_point> m_measured_at;
    model::milliseconds m_longest_gap{0};
    model::time_point m_gap_recorded_at{};
};

} // namespace caperjunction::routing

#endif
