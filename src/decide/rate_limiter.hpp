#ifndef CAPERJUNCTION_DECIDE_RATE_LIMITER_HPP
#define CAPERJUNCTION_DECIDE_RATE_LIMITER_HPP

#include "decide/decaying_rate.hpp"
#include "lists/plan.hpp"
#include "model/time.hpp"

#include <algorithm>
#include <cstdint>

namespace caperjunction::decide {

/// Keeps one team within its plan's limits over all hosts.
///
/// A host decides without a round trip: it subtracts the rates in its peers'
/// digests from the limit. Digests are delayed, so a burst that reaches all
/// hosts at once can exceed the limit by the traffic of that delay. A round
/// trip would instead delay every request.
///
/// Thread safety: none; owned by one task.
class rate_limiter
{
public:
    /// Zero if a request is allowed now, otherwise the retry delay.
    model::milliseconds delay_until_allowed(lists::usage_limits const& limits,
                                            model::time_point now) const
    {
        if (limits.concurrent_requests > 0
            && m_concurrent + peer_concurrent >= limits.concurrent_requests) {
            return concurrency_delay;
        }
        model::milliseconds const requests = delay_for_rate(
            limits.requests_per_second, m_requests, peer_requests, now);
        model::milliseconds const tokens = delay_for_rate(
            limits.tokens_per_second, m_tokens, peer_tokens, now);
        return std::max(requests, tokens);
    }

    void record_admission(double tokens, model::time_point now)
    {
        ++m_concurrent;
        m_requests.add(1.0, now);
        m_tokens.add(tokens, now);
    }

    /// \pre one `record_admission` has had no `record_end`.
    void record_end(double token_correction, model::time_point now)
    {
        m_concurrent -= m_concurrent > 0 ? 1 : 0;
        m_tokens.add(token_correction, now);
    }

    std::uint32_t concurrent() const
    {
        return m_concurrent;
    }

    double requests_per_second(model::time_point now) const
    {
        return m_requests.per_second(now);
    }

    double tokens_per_second(model::time_point now) const
    {
        return std::max(0.0, m_tokens.per_second(now));
    }

    /// Totals of the other hosts' digests.
    double peer_requests = 0.0;
    double peer_tokens = 0.0;
    std::uint32_t peer_concurrent = 0;

private:
    // Long enough to average a team's pauses and bursts; short enough that a
    // team over its limit is admitted again within seconds.
    static constexpr model::milliseconds horizon{5000};
    static constexpr model::milliseconds concurrency_delay{1000};

    static model::milliseconds delay_for_rate(double limit,
                                              decaying_rate const& local,
                                              double peer_rate,
                                              model::time_point now)
    {
        double const rate = local.per_second(now) + peer_rate;
        if (limit <= 0.0 || rate < limit) {
            return model::milliseconds{0};
        }
        // The rate decays by a factor of e over the horizon.
        double const share = std::min(1.0, rate / limit - 1.0);
        auto const wait = static_cast<std::int64_t>(share * horizon.count());
        return model::milliseconds{std::max<std::int64_t>(100, wait)};
    }

    std::uint32_t m_concurrent = 0;
    decaying_rate m_requests{horizon};
    decaying_rate m_tokens{horizon};
};

} // namespace caperjunction::decide

#endif
