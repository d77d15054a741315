#include "decide/policy_table.hpp"

#include <algorithm>

namespace caperjunction::decide {

policy_table::policy_table()
    : m_tier_names{""}
    , m_shares{1.0}
{
}

bool policy_table::apply(std::shared_ptr<lists::catalogue const> catalogue)
{
    if (!catalogue) {
        return false;
    }
    m_catalogue = std::move(catalogue);
    std::vector<lists::tier> tiers = m_catalogue->plans().tiers;
    std::sort(tiers.begin(), tiers.end(), [](auto const& a, auto const& b) {
        return a.rank < b.rank;
    });
    if (tiers.empty()) {
        tiers.emplace_back();
    }
    std::vector<std::string> names;
    std::vector<double> shares;
    for (lists::tier const& tier : tiers) {
        names.push_back(tier.name);
        shares.push_back(tier.guaranteed_share);
    }
    bool changed = names != m_tier_names || shares != m_shares;
    m_tier_names = std::move(names);
    m_shares = std::move(shares);
    for (lists::service_class const& source : m_catalogue->plans().classes) {
        class_rules const updated = read(source);
        index const class_id = class_index(source.name);
        changed = changed || !(m_rules[class_id] == updated);
        m_rules[class_id] = updated;
    }
    for (index class_id = 0; class_id < m_rules.size(); ++class_id) {
        if (m_catalogue->find_class(m_class_names.name(class_id)) == nullptr) {
            m_rules[class_id].tier = lowest_tier();
        }
    }
    return changed;
}

index policy_table::class_index(std::string const& name)
{
    index const class_id = m_class_names.intern(name);
    if (class_id == m_rules.size()) {
        m_rules.emplace_back();
        m_rules.back().tier = lowest_tier();
    }
    return class_id;
}

lists::usage_limits policy_table::limits(std::string const& plan) const
{
    lists::plan const* const found =
        m_catalogue ? m_catalogue->find_plan(plan) : nullptr;
    return found == nullptr ? lists::usage_limits{} : found->team_limits;
}

class_rules policy_table::read(lists::service_class const& source) const
{
    class_rules rules;
    auto const found =
        std::find(m_tier_names.begin(), m_tier_names.end(), source.tier);
    rules.tier = found == m_tier_names.end()
                     ? lowest_tier()
                     : static_cast<index>(found - m_tier_names.begin());
    rules.first_token_target = source.first_token_target;
    rules.inter_token_target = source.inter_token_target;
    rules.max_wait = source.max_wait;
    rules.max_output_tokens = source.max_output_tokens;
    rules.retry_ratio = source.retry_ratio;
    return rules;
}

} // namespace caperjunction::decide
