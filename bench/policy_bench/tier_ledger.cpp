#include "bench/policy_bench/tier_ledger.hpp"

#include "model/limits.hpp"

namespace caperjunction::bench {

tier_ledger::tier_ledger(deployment const& deployment)
    : m_deployment(deployment)
    , m_work(model::limits::max_tiers)
{
}

void tier_ledger::dispatched(planned_request const& plan, model::time_point now)
{
    entry made;
    made.at = now;
    made.rank = m_deployment.tier_of(plan.load).rank;
    made.work = m_deployment.work(
        plan.prompt_tokens, m_deployment.loads[plan.load].mean_output_tokens);
    m_work[made.rank] += made.work;
    m_entries.push_back(made);
    while (m_entries.front().at + window < now) {
        m_work[m_entries.front().rank] -= m_entries.front().work;
        m_entries.pop_front();
    }
}

bool tier_ledger::above_share(std::size_t load) const
{
    lists::tier const& tier = m_deployment.tier_of(load);
    double const all =
        m_deployment.capacity() * std::chrono::duration<double>(window).count();
    return m_work[tier.rank] > all * tier.guaranteed_share * slack;
}

} // namespace caperjunction::bench
