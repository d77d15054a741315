#ifndef CAPERJUNCTION_ROUTING_URGENT_DEMAND_HPP
#define CAPERJUNCTION_ROUTING_URGENT_DEMAND_HPP

#include "model/time.hpp"
#include "routing/demand_trend.hpp"
#include "routing/urgent_work_meter.hpp"

#include <algorithm>
#include <cstdint>

namespace caperjunction::routing {

/// Expected demand of the most urgent streams of one service, over all hosts:
/// how many run, and the prompt tokens per second that are sent for them.
///
/// Answers bursts of chats, and partitions in which each host hears from few
/// others while all of them send to the same engines.
///
/// Thread safety: none; owned by one task.
class urgent_demand
{
public:
    /// What is known at the end of a digest period.
    struct reports
    {
        std::uint32_t own_streams = 0;
        /// From digests.
        std::uint32_t others_streams = 0;
        std::uint64_t others_tokens_per_second = 0;
        /// Bound of `others_tokens_per_second`: what the engines of the service
        /// prefill.
        double max_tokens_per_second = 0.0;
        /// Hosts of the fleet, divided by those whose reports are known.
        double hosts_per_known = 1.0;
    };

    /// Records that this host sent a prompt of which the engine prefills
    /// `tokens`.
    void record_sent(std::uint64_t tokens, model::time_point now)
    {
        m_own_work.record(tokens, now);
    }

    /// Updates the expectation. Must be called once per digest period.
    void update(reports const& from, model::time_point now)
    {
        double const scale = std::max(1.0, from.hosts_per_known);
        m_streams.record((from.own_streams + from.others_streams) * scale, now);
        double const others =
            std::min(static_cast<double>(from.others_tokens_per_second),
                     from.max_tokens_per_second);
        m_work.record((m_own_work.tokens_per_second(now) + others) * scale,
                      now,
                      std::max(1.0, m_own_work.mean_tokens()));
    }

    double expected_streams() const
    {
        return m_streams.expected();
    }

    double expected_tokens_per_second() const
    {
        return m_work.expected();
    }

    /// Returns the work of this host, for its digests.
    double own_tokens_per_second(model::time_point now) const
    {
        return m_own_work.tokens_per_second(now);
    }

private:
    urgent_work_meter m_own_work;
    demand_trend m_streams;
    demand_trend m_work;
};

} // namespace caperjunction::routing

#endif
