#ifndef CAPERJUNCTION_ROUTING_RETRY_BUDGET_HPP
#define CAPERJUNCTION_ROUTING_RETRY_BUDGET_HPP

#include "model/time.hpp"

#include <algorithm>
#include <cstdint>

namespace caperjunction::routing {

/// This host's part of the fleet's budget of second sends to one service.
///
/// When upstreams fail together every request wants a second try, and the
/// retries of the whole fleet add up at the upstreams that are left. Each
/// host keeps to a share of its own requests, so that the sum over hosts
/// holds without a message between them, also while they are cut from each
/// other or start anew.
///
/// Thread safety: none; owned by one task.
class retry_budget
{
public:
    /// `ratio`: second sends a request. `burst`: what an idle host may spend
    /// at once.
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

    /// Takes one second send; false if it must not be made.
    bool try_acquire()
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

    /// Sets what an idle host may spend at once.
    void burst(double burst)
    {
        m_burst = burst;
        m_tokens = std::min(m_tokens, m_burst);
    }

    /// Second sends left.
    double available() const
    {
        return m_tokens;
    }

private:
    /// Requests that arrive in one window may be paid for in the next; the
    /// slack keeps both within the fleet's ratio.
    static constexpr double safety = 0.8;

    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace caperjunction::routing

#endif
