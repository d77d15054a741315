#include "decide/fair_queue.hpp"

#include <algorithm>

namespace caperjunction::decide {

namespace {

// Engines compute a prompt's tokens together, output tokens one step each:
// on engines of today's kind a prompt token costs about a tenth.
constexpr double prompt_weight = 0.1;
// Earnings kept, in requests: enough to serve each tier its turn, too little
// for a block that a higher tier would notice as a missed target.
constexpr double kept_requests = 3.0;

} // namespace

double token_cost(entry const& waiting)
{
    return 1.0 + prompt_weight * waiting.prompt_tokens
           + waiting.expected_output;
}

void fair_queue::set_shares(std::vector<double> const& shares)
{
    m_tiers.resize(std::max(m_tiers.size(), shares.size()));
    for (std::size_t place = 0; place < m_tiers.size(); ++place) {
        m_tiers[place].share = place < shares.size() ? shares[place] : 0.0;
    }
}

void fair_queue::push(entry& waiting)
{
    tier_state& tier = m_tiers[waiting.tier];
    tier.queue.push(waiting);
    tier.usual_cost.add(token_cost(waiting));
    ++m_size;
}

void fair_queue::remove(entry& waiting)
{
    m_tiers[waiting.tier].queue.remove(waiting);
    --m_size;
}

std::array<entry*, fair_queue::max_turns> fair_queue::turns()
{
    std::array<entry*, max_turns> order{};
    std::size_t placed = 0;
    entry* highest = nullptr;
    for (tier_state& tier : m_tiers) {
        entry* const head = tier.queue.head();
        if (head == nullptr) {
            continue;
        }
        if (highest == nullptr) {
            highest = head;
        } else if (tier.earned >= token_cost(*head)) {
            order[placed++] = head;
        }
    }
    // Behind those that are owed come all by rank: room that an owed one may
    // not use can still be good for the highest tier.
    for (tier_state& tier : m_tiers) {
        entry* const head = tier.queue.head();
        bool const owed =
            std::find(order.begin(), order.end(), head) != order.end();
        if (head != nullptr && !owed) {
            order[placed++] = head;
        }
    }
    return order;
}

bool fair_queue::owed(entry const& waiting) const
{
    return m_tiers[waiting.tier].earned >= token_cost(waiting);
}

void fair_queue::serve(entry& served, double tokens)
{
    earn(tokens);
    tier_state& tier = m_tiers[served.tier];
    double const most = kept_requests * tokens;
    tier.earned = std::max(tier.earned - tokens, -most);
    tier.queue.charge(served.team, tokens);
}

void fair_queue::yield_turn(double tokens)
{
    earn(tokens);
}

void fair_queue::correct(index tier, index team, double tokens)
{
    if (tier < m_tiers.size()) {
        m_tiers[tier].queue.charge(team, tokens);
    }
}

void fair_queue::earn(double tokens)
{
    for (tier_state& tier : m_tiers) {
        double const most = kept_requests * tier.usual_cost.value_or(0.0);
        tier.earned = std::min(tier.earned + tokens * tier.share, most);
    }
}

} // namespace caperjunction::decide
