#ifndef CAPERJUNCTION_DECIDE_FAIR_QUEUE_HPP
#define CAPERJUNCTION_DECIDE_FAIR_QUEUE_HPP

#include "decide/entry.hpp"
#include "decide/moving_average.hpp"
#include "decide/share_account.hpp"
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
/// credit covers its next request. What a tier gets is charged when it is
/// dispatched, by its expected length, and corrected to what its caller got.
///
/// Shares hold over a window. A tier owes at most what its share yields in one,
/// so that it does not wait longer after it has used idle capacity. It is owed
/// at most a part of that, so that a tier returning from idle delays the higher
/// tiers for a short time only.
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

    /// Adds `tokens`, which may be negative, to an earlier charge once more is
    /// known of what the caller got. The team's charge changes at once, the
    /// tier's in the course of time: short answers end first, and credited back
    /// at once they would at first give a tier of long answers twice its share.
    void adjust_charge(index tier, index team, double tokens);

    /// \pre `tier` is less than `tiers()`.
    share_account const& account(index tier) const
    {
        return m_tiers[tier].account;
    }

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
        /// Tokens accrued by the guaranteed share and not yet served; negative
        /// if the tier got more than its share.
        double credit = 0.0;
        /// Part of the adjustments that is not yet in the credit.
        double pending_adjustment = 0.0;
        moving_average expected_cost;
        share_account account;
    };

    void accrue_credit(double tokens, model::time_point now);
    void accrue_credit(tier_state& tier, double tokens, double applied_part);

    std::vector<tier_state> m_tiers{1};
    std::size_t m_size = 0;
    /// Tokens served to all tiers in the window, older ones weighing less.
    double m_recent_tokens = 0.0;
    model::time_point m_updated{};
};

/// Cost of a request in tokens. The prompt is computed in parallel and
/// therefore weighs less than the output.
double token_cost(entry const& waiting);

} // namespace caperjunction::decide

#endif
