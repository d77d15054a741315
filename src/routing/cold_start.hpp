#ifndef CAPERJUNCTION_ROUTING_COLD_START_HPP
#define CAPERJUNCTION_ROUTING_COLD_START_HPP

#include "model/time.hpp"
#include "routing/upstream_limit.hpp"

#include <optional>

namespace caperjunction::routing {

/// Limits the requests to an engine that has just started.
///
/// A cold engine crashes above a rate that its service states. To all hosts it
/// looks idle, and without a limit they would place their requests on it at the
/// same time. The rate is shared like the limit that an overloaded upstream
/// reports.
///
/// Thread safety: none; owned by one task.
class cold_start
{
public:
    /// Records that the engine is cold until `until` at least. Returns true if
    /// it was not known to be cold.
    bool extend(model::time_point until, model::time_point now);

    bool is_cold(model::time_point now) const
    {
        return now < m_until;
    }

    /// Sets the rate that the engine takes from all hosts together, and this
    /// host's part; no value: any rate.
    /// \pre is_cold(now).
    void set_limit(std::optional<double> requests_per_second,
                   limit_share const& share,
                   model::time_point now);

    upstream_limit const& limit() const
    {
        return m_limit;
    }

    /// Returns when one more request may be sent: `now` or earlier if at once.
    model::time_point next_send(model::time_point now) const;

    /// Records that a request was sent.
    void record_send(model::time_point now)
    {
        m_limit.record_send(now);
    }

private:
    /// The rate holds within each second. Each host may send its first request
    /// at any time, so that fewer hosts share it than in a limit that an
    /// upstream reports.
    upstream_limit m_limit{sharer_rule{1.0, 0.8}};
    model::time_point m_until{};
};

} // namespace caperjunction::routing

#endif
