#ifndef CAPERJUNCTION_ROUTING_PERFORMANCE_METER_HPP
#define CAPERJUNCTION_ROUTING_PERFORMANCE_METER_HPP

#include "model/time.hpp"
#include "routing/upstream_performance.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace caperjunction::routing {

/// What this host's own requests tell of an upstream's pace.
///
/// An engine may be slower than its like, or turn slow for some seconds, and
/// says nothing of it. Requests that go on being sent there wait for several
/// times their forecast, and streams come in jerks. First events tell it, and
/// before any has come the requests that wait longer than was forecast; so do
/// the pauses of the streams that run there.
///
/// Thread safety: none; owned by one task.
class performance_meter
{
public:
    using ticket = std::uint64_t;

    /// A request was sent whose first event is expected after `forecast`.
    ticket begin(model::time_point now, model::milliseconds forecast);

    /// Its first event came `now`.
    void end(ticket waiting, model::time_point now);

    /// Its first event will not come.
    void drop(ticket waiting);

    /// Two events of a stream came so far apart.
    void record_gap(model::milliseconds gap, model::time_point now);

    upstream_performance performance(model::time_point now) const;

private:
    struct wait
    {
        model::time_point since{};
        /// At the usual pace.
        model::milliseconds forecast{0};
    };

    double overdue(model::time_point now) const;
    model::milliseconds longest_gap(model::time_point now) const;

    std::map<ticket, wait> m_waiting;
    ticket m_next = 0;
    double m_slowdown = 1.0;
    std::optional<model::time_point> m_measured_at;
    model::milliseconds m_longest_gap{0};
    model::time_point m_gap_recorded_at{};
};

} // namespace caperjunction::routing

#endif
