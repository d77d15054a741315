#ifndef CAPERJUNCTION_LISTS_DIFF_HPP
#define CAPERJUNCTION_LISTS_DIFF_HPP

#include "lists/change.hpp"
#include "lists/entitlement_list.hpp"
#include "lists/plan_list.hpp"

#include <vector>

namespace caperjunction::lists {

/// Returns the entries that differ between two lists of plans, for the log line
/// of the new revision. Contains only names, never a key, salt or hash.
/// \pre both lists have passed `check`. Thread safety: no shared state.
std::vector<change> diff(plan_list const& before, plan_list const& after);

/// Returns the entries that differ between two lists of entitlements.
std::vector<change> diff(entitlement_list const& before,
                         entitlement_list const& after);

} // namespace caperjunction::lists

#endif
