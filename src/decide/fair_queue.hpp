#ifndef CAPERJUNCTION_DECIDE_FAIR_QUEUE_HPP
#define CAPERJUNCTION_DECIDE_FAIR_QUEUE_HPP

#include "decide/entry.hpp"
#include "decide/moving_average.hpp"
#include "decide/tier_queue.hpp"
#include "model/limits.hpp"

#include <array>
#include <cstddef>
#include <vector>

namespace caperjunction::decide {

/// What waits for one model: the highest tier first, but each tier gets its
/// guaranteed share of what is served while it waits.
///
/// Made for full saturation: strict priority would let a higher tier's burst
/// starve the smallest society for as long as it lasts. Each tier earns its
/// share of every token served, and goes first once it has earned its next
/// request. Earnings stop at a few requests, so that a quiet spell is not
/// paid out in one block in front of the higher tiers.
///
/// Thread safety: none; owned by one task.
class fair_queue
{
public:
    /// Sets the guaranteed shares, highest tier first.
    /// \pre nothing is queued in a tier beyond them.
    void set_shares(std::vector<double> const& shares);

    /// `elsewhere` holds the tokens that each team has got on other hosts,
    /// ever growing; it is as long as there are teams.
    void push(entry& waiting, std::vector<double> const& remote_tokens);

    void remove(entry& waiting);

    static constexpr std::size_t max_heads = model::limits::max_tiers;

    /// The first request of each tier in the order in which they are to be
    /// tried; null behind the last.
    std::array<entry*, max_heads>
    dispatch_order(std::vector<double> const& remote_tokens);

    /// Whether `waiting`'s tier goes ahead of higher ones by its share.
    bool is_below_share(entry const& waiting) const;

    /// Counts `tokens` of `served` (already removed) against team and tier.
    void record_served(entry& served, double tokens, model::time_point now);

    /// Corrects what a team was charged, once the output is known. The tier's
    /// share stays as it was charged: short answers end first, and what they
    /// give back would let a tier of long ones have twice its share at first.
    void adjust_charge(index tier, index team, double tokens);

    std::size_t size() const
    {
        return m_size;
    }

    std::size_t size(index tier) const
    {
        return tier < m_tiers.size() ? m_tiers[tier].queue.size() : 0;
    }

    tier_queue const& queue(index tier) const
    {
        return m_tiers[tier].queue;
    }

    std::size_t tiers() const
    {
        return m_tiers.size();
    }

private:
    struct tier_state
    {
        tier_queue queue;
        double share = 0.0;
        /// Tokens that its share has earned and that it has not yet got.
        double credit = 0.0;
        moving_average expected_cost;
    };

    void accrue_credit(double tokens, model::time_point now);

    std::vector<tier_state> m_tiers{1};
    std::size_t m_size = 0;
    model::time_point m_updated{};
};

/// Tokens a request counts for: the prompt is computed in parallel and so
/// weighs less than the output.
double token_cost(entry const& waiting);

} // namespace caperjunction::decide

#endif
