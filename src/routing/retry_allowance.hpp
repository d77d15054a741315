#ifndef CAPERJUNCTION_ROUTING_RETRY_ALLOWANCE_HPP
#define CAPERJUNCTION_ROUTING_RETRY_ALLOWANCE_HPP

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
class retry_allowance
{
public:
    /// `ratio`: second sends a request. `burst`: what an idle host may spend
    /// at once.
    retry_allowance(double ratio, double burst)
        : m_ratio(ratio * safety)
        , m_burst(burst)
        , m_left(burst)
    {
    }

    void record_request()
    {
        m_left = std::min(m_left + m_ratio, m_burst);
    }

    /// Takes one second send; false if it must not be made.
    bool try_take()
    {
        if (m_left < 1.0) {
            return false;
        }
        m_left -= 1.0;
        return true;
    }

    /// Sets what an idle host may spend at once.
    void burst(double burst)
    {
        m_burst = burst;
        m_left = std::min(m_left, m_burst);
    }

    /// Second sends left.
    double left() const
    {
        return m_left;
    }

private:
    /// Requests that arrive in one window may be paid for in the next; the
    /// slack keeps both within the fleet's ratio.
    static constexpr double safety = 0.8;

    double m_ratio;
    double m_burst;
    double m_left;
};

} // namespace caperjunction::routing

#endif
