#ifndef CAPERJUNCTION_LISTS_PARSE_HPP
#define CAPERJUNCTION_LISTS_PARSE_HPP

#include "lists/entitlement_list.hpp"
#include "lists/fault.hpp"
#include "lists/plan_list.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::lists {

/// Parses the list of plans and appends every fault found to `faults`. The
/// result may be used only if none was appended. `file` names the source in
/// faults. Thread safety: no shared state.
plan_list parse_plans(std::string_view text,
                      std::string const& file,
                      std::vector<fault>& faults);

/// Parses the list of entitlements in the same way.
entitlement_list parse_entitlements(std::string_view text,
                                    std::string const& file,
                                    std::vector<fault>& faults);

} // namespace caperjunction::lists

#endif
