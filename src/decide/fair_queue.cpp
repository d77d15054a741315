#include "decide/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::decide {

namespace {

// Engines compute prompt tokens in parallel and output tokens one step each; on
// current engines a prompt token costs about one eighth of an output token.
constexpr double prompt_weight = 0.13;
// Credit limit in requests: enough for each tier's next request, too little for
// a block that makes a higher tier miss its target.
constexpr double max_credit_requests = 1.5;
constexpr double window_seconds = 20.0;
// Compensates for credit spent on answers whose caller has gone.
constexpr double share_factor = 1.24;

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
    tier.queue.charge(served.team, tokens);
}

void fair_queue::adjust_charge(index tier, index team, double tokens)
{
    if (tier < m_tiers.size()) {
        m_tiers[tier].queue.charge(team, tokens);
    }
}

void fair_queue::accrue_credit(double tokens, model::time_point now)
{
    // Tokens served beyond a tier's share while there was capacity count
    // against it for a while. The share then holds over a window and not only
    // from the moment at which a higher tier starts to wait.
    double const age = model::seconds(now - m_updated).count();
    double const decay = std::exp(-std::max(0.0, age) / window_seconds);
    m_updated = now;
    for (tier_state& tier : m_tiers) {
        double const max_credit =
            max_credit_requests * tier.expected_cost.value_or(0.0);
        if (tier.credit < 0.0) {
            tier.credit *= decay;
        }
        double const share_tokens = tokens * tier.share * share_factor;
        tier.credit = std::min(tier.credit + share_tokens, max_credit);
    }
}

} // namespace caperjunction::decide
