#ifndef CAPERJUNCTION_DECIDE_WAIT_ESTIMATOR_HPP
#define CAPERJUNCTION_DECIDE_WAIT_ESTIMATOR_HPP

#include "decide/decaying_rate.hpp"
#include "decide/fair_queue.hpp"
#include "decide/moving_average.hpp"
#include "model/time.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace caperjunction::decide {

/// Predicts the queueing time of a request of a tier for one model.
///
/// By Little's law, the requests that this host has running end within the mean
/// duration of one of them. A tier gets the rate that the arrivals of higher
/// tiers leave, and at least its guaranteed share. The prediction is used for
/// early refusals and for the Retry-After of refusals.
///
/// Thread safety: none; owned by one task.
class wait_estimator
{
public:
    void record_arrival(index tier, model::time_point now)
    {
        while (tier >= m_arrivals.size()) {
            m_arrivals.emplace_back(horizon);
        }
        m_arrivals[tier].add(1.0, now);
    }

    void record_start()
    {
        ++m_running;
    }

    /// \pre one `record_start` has had no `record_end`.
    void record_end(model::milliseconds running_time)
    {
        m_running -= m_running > 0 ? 1 : 0;
        m_durations.add(model::seconds(running_time).count());
    }

    std::uint32_t running() const
    {
        return m_running;
    }

    /// Requests per second completed by this host's share of the engines.
    double completion_rate() const
    {
        double const duration =
            std::max(min_duration, m_durations.value_or(default_duration));
        return std::max<double>(1.0, m_running) / duration;
    }

    /// Queueing time of a request at the end of its tier's queue.
    model::milliseconds predict(fair_queue const& queue,
                                std::vector<double> const& shares,
                                index tier,
                                model::time_point now) const
    {
        double const total_rate = completion_rate();
        double higher_arrivals = 0.0;
        double queued_ahead = 0.0;
        for (index higher_tier = 0; higher_tier < tier; ++higher_tier) {
            queued_ahead += static_cast<double>(queue.size(higher_tier));
            higher_arrivals += higher_tier < m_arrivals.size()
                                   ? m_arrivals[higher_tier].per_second(now)
                                   : 0.0;
        }
        double const share = tier < shares.size() ? shares[tier] : 0.0;
        double const available = std::max({total_rate - higher_arrivals,
                                           share * total_rate,
                                           0.02 * total_rate});
        double const own_wait =
            static_cast<double>(queue.size(tier)) / available;
        double const seconds =
            std::min(max_seconds, queued_ahead / total_rate + own_wait);
        return model::milliseconds(static_cast<std::int64_t>(seconds * 1000.0));
    }

private:
    static constexpr model::milliseconds horizon{3000};
    static constexpr double min_duration = 0.02;
    static constexpr double default_duration = 1.0;
    // Longer predictions are useless: demand changes in the meantime.
    static constexpr double max_seconds = 600.0;

    std::vector<decaying_rate> m_arrivals;
    std::uint32_t m_running = 0;
    moving_average m_durations{0.05};
};

} // namespace caperjunction::decide

#endif
