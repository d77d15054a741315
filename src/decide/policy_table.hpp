#ifndef CAPERJUNCTION_DECIDE_POLICY_TABLE_HPP
#define CAPERJUNCTION_DECIDE_POLICY_TABLE_HPP

#include "decide/class_rules.hpp"
#include "decide/indices.hpp"
#include "decide/name_table.hpp"
#include "lists/catalogue.hpp"

#include <memory>
#include <string>
#include <vector>

namespace caperjunction::decide {

/// The lists in effect as numbers: classes, tiers by rank, team limits.
///
/// A class keeps its number when the lists change, so that queued requests stay
/// valid. Thread safety: none; owned by one task.
class policy_table
{
public:
    policy_table();

    /// Applies a validated pair of lists. Returns true if a tier or a class
    /// changed, in which case queued requests must be sorted again.
    bool apply(std::shared_ptr<lists::catalogue const> catalogue);

    /// The number of a class. A class that is not in the lists gets the
    /// defaults and the lowest tier.
    index class_index(std::string const& name);

    class_rules const& rules(index class_id) const
    {
        return m_rules[class_id];
    }

    std::size_t classes() const
    {
        return m_rules.size();
    }

    std::size_t tiers() const
    {
        return m_shares.size();
    }

    index lowest_tier() const
    {
        return static_cast<index>(m_shares.size() - 1);
    }

    /// Guaranteed share of each tier, highest tier first.
    std::vector<double> const& shares() const
    {
        return m_shares;
    }

    /// Limits of each team under this plan; no limits for an unknown plan.
    lists::usage_limits limits(std::string const& plan) const;

private:
    class_rules read(lists::service_class const& source) const;

    std::shared_ptr<lists::catalogue const> m_catalogue;
    name_table m_class_names;
    std::vector<class_rules> m_rules;
    std::vector<std::string> m_tier_names;
    std::vector<double> m_shares;
};

} // namespace caperjunction::decide

#endif
