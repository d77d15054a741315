#ifndef CAPERJUNCTION_ROUTING_UPSTREAM_HEALTH_HPP
#define CAPERJUNCTION_ROUTING_UPSTREAM_HEALTH_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace caperjunction::routing {

/// Health of an upstream, from the outcome of this host's requests.
///
/// A health check may pass while requests fail, and an unresponsive upstream
/// holds each request until its caller times out. The symptom is a timeout on
/// every attempt. Failures therefore cause a back-off that grows each time, and
/// the failure rate is a cost that placement weighs against distance and load.
///
/// Thread safety: none; owned by one task.
class upstream_health
{
public:
    /// Records that the upstream could not be reached or a connection to it
    /// broke.
    void record_unreachable(model::time_point now)
    {
        record_failure(now);
        m_consecutive = std::min(m_consecutive + 1, max_doublings);
        auto const wait = first_back_off * (1U << (m_consecutive - 1));
        m_backed_off_until = now + std::min(wait, max_back_off);
    }

    /// Records an answer that reports a failure of the upstream.
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

    /// Returns the share of recent requests that failed, 0..1, with exponential
    /// decay.
    double failure_share(model::time_point now) const
    {
        double const age = model::seconds(now - m_updated).count();
        return m_failures * std::exp2(-std::max(age, 0.0) / half_life_seconds);
    }

private:
    /// About one request in six: three consecutive failures outweigh any
    /// distance.
    static constexpr double weight = 0.15;
    /// An upstream that gets no requests must be attempted again eventually.
    static constexpr double half_life_seconds = 3.0;
    /// An engine takes seconds to restart; the first back-off only protects the
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
