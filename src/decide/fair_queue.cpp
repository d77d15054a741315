#include "decide/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::decide {

namespace {

// Engines compute prompt tokens in parallel and output tokens one step each; on
// current engines a prompt token costs about one eighth of an output token.
constexpr double prompt_weight = 0.13;
// Time over which the guaranteed shares hold.
constexpr double window_seconds = 20.0;
// Part of a window's share that a tier may carry over as credit. In any window
// it then gets at most so much more than its share.
constexpr double max_carried_part = 1.0 / 3.0;
// Credit that a tier may always have, in requests: the carried part can be less
// than its next request.
constexpr double min_credit_limit_requests = 1.5;
// Adjustments arrive when answers end, those of many at a time. They are spread
// over the run time of long answers.
constexpr double adjustment_seconds = 60.0;

} // namespace

double token_cost(entry const& waiting)
{
    return 1.0 + prompt_weight * waiting.prompt_tokens
           + waiting.expected_output;
}

void fair_queue::set_shares(std::vector<double> const& shares)
{
    m_tiers.resize(std::max(m_tiers.size(), shares.size()));
    for (std::size_t tier_index = 0; tier_index < m_tiers.size();
         ++tier_index) {
        m_tiers[tier_index].share =
            tier_index < shares.size() ? shares[tier_index] : 0.0;
    }
}

void fair_queue::push(entry& waiting, std::vector<double> const& remote_tokens)
{
    tier_state& tier = m_tiers[waiting.tier];
    tier.queue.push(waiting, remote_tokens);
    tier.expected_cost.add(token_cost(waiting));
    ++m_size;
}

void fair_queue::remove(entry& waiting)
{
    m_tiers[waiting.tier].queue.remove(waiting);
    --m_size;
}

std::array<entry*, fair_queue::max_heads>
fair_queue::dispatch_order(std::vector<double> const& remote_tokens)
{
    std::array<entry*, max_heads> order{};
    std::size_t filled = 0;
    entry* highest = nullptr;
    for (tier_state& tier : m_tiers) {
        entry* const head = tier.queue.head(remote_tokens);
        if (head == nullptr) {
            continue;
        }
        if (highest == nullptr) {
            highest = head;
        } else if (tier.credit >= token_cost(*head)) {
            order[filled++] = head;
        }
    }
    // After the tiers below their share come all tiers by rank: capacity that
    // is closed to a lower tier may still be open to the highest.
    for (tier_state& tier : m_tiers) {
        entry* const head = tier.queue.head(remote_tokens);
        bool const below_share =
            std::find(order.begin(), order.end(), head) != order.end();
        if (head != nullptr && !below_share) {
            order[filled++] = head;
        }
    }
    return order;
}

bool fair_queue::is_below_share(entry const& waiting) const
{
    return m_tiers[waiting.tier].credit >= token_cost(waiting);
}

void fair_queue::record_served(entry& served,
                               double tokens,
                               model::time_point now)
{
    accrue_credit(tokens, now);
    tier_state& tier = m_tiers[served.tier];
    tier.credit -= tokens;
    tier.account.charged += tokens;
    tier.queue.charge(served.team, tokens);
}

void fair_queue::adjust_charge(index tier, index team, double tokens)
{
    if (tier >= m_tiers.size()) {
        return;
    }
    m_tiers[tier].queue.charge(team, tokens);
    m_tiers[tier].account.adjusted += tokens;
    m_tiers[tier].pending_adjustment -= tokens;
    for (tier_state& any : m_tiers) {
        any.pending_adjustment += tokens * any.share;
    }
}

void fair_queue::accrue_credit(double tokens, model::time_point now)
{
    double const age = std::max(0.0, model::seconds(now - m_updated).count());
    m_updated = now;
    m_recent_tokens =
        m_recent_tokens * std::exp(-age / window_seconds) + tokens;
    double const applied_part = 1.0 - std::exp(-age / adjustment_seconds);
    for (tier_state& tier : m_tiers) {
        accrue_credit(tier, tokens, applied_part);
    }
}

void fair_queue::accrue_credit(tier_state& tier,
                               double tokens,
                               double applied_part)
{
    double const adjustment = tier.pending_adjustment * applied_part;
    tier.pending_adjustment -= adjustment;
    tier.account.accrued += tokens * tier.share;
    double const credit = tier.credit + tokens * tier.share + adjustment;

    double const max_debt = m_recent_tokens * tier.share;
    double const max_credit =
        std::max(max_carried_part * max_debt,
                 min_credit_limit_requests * tier.expected_cost.value_or(0.0));
    tier.credit = std::clamp(credit, -max_debt, max_credit);
    tier.account.expired_credit += std::max(0.0, credit - max_credit);
    tier.account.remitted_debt += std::max(0.0, -max_debt - credit);
}

} // namespace caperjunction::decide
