#ifndef CAPERJUNCTION_LISTS_CHECK_HPP
#define CAPERJUNCTION_LISTS_CHECK_HPP

#include "lists/entitlement_list.hpp"
#include "lists/fault.hpp"
#include "lists/plan_list.hpp"

#include <vector>

namespace caperjunction::lists {

/// Validates constraints across entries: references to undefined names,
/// duplicate names, and shares with a sum above 1. Returns all faults; the
/// lists may be applied only if there are none. Thread safety: no shared state.
std::vector<fault> check(plan_list const& plans,
                         entitlement_list const& entitlements);

} // namespace caperjunction::lists

#endif
