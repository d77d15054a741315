#ifndef CAPERJUNCTION_ROUTING_RANK_LOAD_METER_HPP
#define CAPERJUNCTION_ROUTING_RANK_LOAD_METER_HPP

#include "model/time.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <numeric>

namespace caperjunction::routing {

/// Prompt tokens that this host sends to one engine, by urgency.
///
/// Thread safety: none; owned by one task.
class rank_load_meter
{
public:
    /// Ranks from the last index on are counted together.
    static constexpr std::size_t max_ranks = 8;

    /// Returns the index at which `rank` is counted.
    static constexpr std::size_t index_of(std::uint32_t rank)
    {
        return std::min<std::size_t>(rank, max_ranks - 1);
    }

    /// Records a prompt of `tokens` that awaits its first event.
    void
    record_sent(std::uint32_t rank, std::uint64_t tokens, model::time_point now)
    {
        decay(now);
        m_recent[index_of(rank)] += static_cast<double>(tokens);
        m_pending[index_of(rank)] += tokens;
    }

    /// Records that such a prompt has begun or ended. `tokens` must have been
    /// recorded as sent at the same rank.
    void record_read(std::uint32_t rank, std::uint64_t tokens)
    {
        m_pending[index_of(rank)] -= tokens;
    }

    /// Returns the tokens that await their first event at `index`.
    std::uint64_t pending(std::size_t index) const
    {
        return m_pending[index];
    }

    /// Returns the tokens that await their first event, of prompts that are at
    /// least as urgent as `rank`.
    std::uint64_t pending_up_to(std::uint32_t rank) const
    {
        auto const* const first = m_pending.data();
        return std::accumulate(
            first, first + index_of(rank) + 1, std::uint64_t{0});
    }

    /// Returns the tokens sent per second at `index`.
    double tokens_per_second(std::size_t index, model::time_point now) const
    {
        constexpr double ln_2 = 0.693147;
        return m_recent[index] * factor(now) * ln_2 / half_life_seconds;
    }

private:
    /// Long compared with the time between two prompts of a host at a service,
    /// short compared with a burst.
    static constexpr double half_life_seconds = 1.0;

    double factor(model::time_point now) const
    {
        double const age = model::seconds(now - m_decayed_at).count();
        return std::exp2(-std::max(0.0, age) / half_life_seconds);
    }

    void decay(model::time_point now)
    {
        double const by = factor(now);
        for (double& each : m_recent) {
            each *= by;
        }
        m_decayed_at = now;
    }

    /// Tokens sent, decayed up to `m_decayed_at`.
    std::array<double, max_ranks> m_recent{};
    std::array<std::uint64_t, max_ranks> m_pending{};
    model::time_point m_decayed_at{};
};

} // namespace caperjunction::routing

#endif
