#ifndef CAPERJUNCTION_ROUTING_URGENT_WORK_METER_HPP
#define CAPERJUNCTION_ROUTING_URGENT_WORK_METER_HPP

#include "model/time.hpp"

#include <cmath>
#include <cstdint>

namespace caperjunction::routing {

/// Measures the prompt tokens per second that this host sends to engines for
/// the most urgent streams of a service. Older ones count for less, with a
/// half-life of a second.
///
/// Thread safety: none; owned by one task.
class urgent_work_meter
{
public:
    /// Records that a prompt was sent of which the engine prefills `tokens`.
    void record(std::uint64_t tokens, model::time_point now)
    {
        double const share = remaining_share(now);
        m_tokens = m_tokens * share + static_cast<double>(tokens);
        m_prompts = m_prompts * share + 1.0;
        m_updated_at = now;
    }

    /// Returns the prompt tokens per second as of `now`.
    double tokens_per_second(model::time_point now) const
    {
        constexpr double ln_2 = 0.6931471805599453;
        return m_tokens * remaining_share(now) * ln_2 / half_life_seconds;
    }

    /// Returns the mean tokens of the recent prompts; zero before the first.
    double mean_tokens() const
    {
        return m_prompts > 0.0 ? m_tokens / m_prompts : 0.0;
    }

private:
    static constexpr double half_life_seconds = 1.0;

    double remaining_share(model::time_point now) const
    {
        double const elapsed = model::seconds(now - m_updated_at).count();
        return elapsed <= 0.0 ? 1.0 : std::exp2(-elapsed / half_life_seconds);
    }

    double m_tokens = 0.0;
    double m_prompts = 0.0;
    model::time_point m_updated_at{};
};

} // namespace caperjunction::routing

#endif
