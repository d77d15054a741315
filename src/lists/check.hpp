#ifndef CAPERJUNCTION_LISTS_CHECK_HPP
#define CAPERJUNCTION_LISTS_CHECK_HPP

#include "lists/entitlement_list.hpp"
#include "lists/fault.hpp"
#include "lists/plan_list.hpp"

#include <vector>

namespace caperjunction::lists {

/// Every fault that can only be seen across entries: names that refer to
/// nothing, names given twice, shares that add up to more than one. Empty
/// means that the pair may be put in force. Thread safety: no shared state.
std::vector<fault> check(plan_list const& plans,
                         entitlement_list const& entitlements);

} // namespace caperjunction::lists

#endif
