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

/// Requests waiting for one model: highest tier first, while each tier with
/// waiting requests gets its guaranteed share of the served tokens.
///
/// Under full saturation, strict priority would let a higher tier's burst
/// starve the smallest team for as long as it lasts. Each tier accrues credit
/// in proportion to its share of every token served, and goes first once the
/// credit covers its next request. Credit is capped at a few requests, so that
/// a tier returning from idle does not delay the higher tiers with one large
/// block.
///
/// Thread safety: none; owned by one task.
class fair_queue
{
public:
    /// Sets the guaranteed shares, highest tier first.
    /// \pre no request is queued in a tier beyond the end of `shares`.
    void set_shares(std::vector<double> const& shares);

    /// `remote_tokens` holds the tokens served to each team on other hosts; the
    /// values only increase. Its size is the number of teams.
    void push(entry& waiting, std::vector<double> const& remote_tokens);

    void remove(entry& waiting);

    static constexpr std::size_t max_heads = model::limits::max_tiers;

    /// The first request of each tier, in the order in which dispatch is
    /// attempted; null after the last.
    std::array<entry*, max_heads>
    dispatch_order(std::vector<double> const& remote_tokens);

    /// Whether the tier's credit covers `waiting`, which lets it pass higher
    /// tiers.
    bool is_below_share(entry const& waiting) const;

    /// Charges `tokens` of `served` (already removed) to its team and tier.
    void record_served(entry& served, double tokens, model::time_point now);

    /// Adjusts a team's charge once the output length is known. The tier's
    /// charge is not adjusted: short answers end first, and crediting them back
    /// would at first give a tier of long answers twice its share.
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
        /// Tokens accrued by the guaranteed share and not yet served.
        double credit = 0.0;
        moving_average expected_cost;
    };

    void accrue_credit(double tokens, model::time_point now);

    std::vector<tier_state> m_tiers{1};
    std::size_t m_size = 0;
    model::time_point m_updated{};
};

/// Cost of a request in tokens. The prompt is computed in parallel and
/// therefore weighs less than the output.
double token_cost(entry const& waiting);

} // namespace caperjunction::decide

#endif
