#ifndef CAPERJUNCTION_ROUTING_RETRY_BUDGET_HPP
#define CAPERJUNCTION_ROUTING_RETRY_BUDGET_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstdint>

namespace caperjunction::routing {

/// This host's part of the fleet's retry budget for one service.
///
/// When upstreams fail together, every request needs a retry, and the retries
/// of the whole fleet add up at the remaining upstreams. Each host limits
/// retries to a fraction of its own requests. The sum over all hosts then stays
/// within the budget without messages between them, also while they are
/// disconnected from each other or restart.
///
/// Thread safety: none; owned by one task.
class retry_budget
{
public:
    /// `ratio`: retries per request. `burst`: retries available to an idle
    /// host.
    retry_budget(double ratio, double burst)
        : m_ratio(ratio * safety)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    void record_request()
    {
        m_tokens = std::min(m_tokens + m_ratio, m_burst);
    }

    /// Consumes one retry. Returns false if the budget is exhausted.
    bool try_acquire()
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

    /// Sets the number of retries available to an idle host.
    void burst(double burst)
    {
        m_burst = burst;
        m_tokens = std::min(m_tokens, m_burst);
    }

    /// Returns the number of retries left.
    double available() const
    {
        return m_tokens;
    }

private:
    /// Requests of one time window may pay for retries of the next; the
    /// reduction keeps both windows within the fleet's ratio.
    static constexpr double safety = 0.8;

    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace caperjunction::routing

#endif
