#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_HEALTH_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_HEALTH_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace caperjunction::routing {

/// What an upstream's own answers say of it.
///
/// A health check may pass while requests fail, and a dark upstream takes
/// every request that is sent to it until its caller gives up. Callers notice
/// as timeouts that come back with each try. So failures of requests keep new
/// ones away, for longer each time, and a share of failures is a price that
/// placing weighs against distance and load.
///
/// Thread safety: none; owned by one task.
class upstream_health
{
public:
    /// The upstream could not be reached, or a connection to it broke.
    void record_unreachable(model::time_point now)
    {
        record_failure(now);
        m_consecutive = std::min(m_consecutive + 1, max_doublings);
        auto const wait = first_back_off * (1U << (m_consecutive - 1));
        m_backed_off_until = now + std::min(wait, max_back_off);
    }

    /// It answered, and the answer was a failure of its own.
    void record_failure(model::time_point now)
    {
        m_failures = failure_share(now) * (1.0 - weight) + weight;
        m_updated = now;
    }

    void record_success(model::time_point now)
    {
        m_failures = failure_share(now) * (1.0 - weight);
        m_updated = now;
        m_consecutive = 0;
        m_backed_off_until = {};
    }

    bool is_backing_off(model::time_point now) const
    {
        return now < m_backed_off_until;
    }

    /// Share of recent requests that failed, 0 to 1; old ones fade.
    double failure_share(model::time_point now) const
    {
        double const age = model::seconds(now - m_updated).count();
        return m_failures * std::exp2(-std::max(age, 0.0) / half_life_seconds);
    }

private:
    /// One request in six: three failures in a row outweigh any distance.
    static constexpr double weight = 0.15;
    /// An upstream that nobody asks must be tried again some time.
    static constexpr double half_life_seconds = 3.0;
    /// A restart of an engine takes seconds; the first rest only spares the
    /// requests that are about to be sent.
    static constexpr model::milliseconds first_back_off{400};
    static constexpr model::milliseconds max_back_off{3'000};
    static constexpr std::uint32_t max_doublings = 5;

    double m_failures = 0.0;
    std::uint32_t m_consecutive = 0;
    model::time_point m_updated{};
    model::time_point m_backed_off_until{};
};

} // namespace caperjunction::routing

#endif
