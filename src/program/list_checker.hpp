#ifndef CAPERJUNCTION_PROGRAM_LIST_CHECKER_HPP
#define CAPERJUNCTION_PROGRAM_LIST_CHECKER_HPP

#include "fleet/configuration_settings.hpp"
#include "lists/entitlement_list.hpp"
#include "lists/fault.hpp"
#include "lists/plan_list.hpp"

#include <optional>
#include <string>
#include <vector>

namespace caperjunction::program {

/// Parsed plans and entitlements.
struct parsed_lists
{
    lists::plan_list plans;
    lists::entitlement_list entitlements;
};

/// Checks published bodies with the parsers that also load them, and caches the
/// last parsed pair. A valid pair is put in force right after its check, and
/// parsing a list of 530 teams twice doubles the cost of each change.
///
/// Thread safety: none; owned by one task.
class list_checker
{
public:
    std::vector<lists::fault> check(fleet::value_bodies const& bodies);

    /// Returns the parsed lists of two bodies and clears the cache.
    /// \pre The pair has passed `check`.
    parsed_lists take_parsed(std::string const& plans,
                             std::string const& entitlements);

private:
    std::optional<parsed_lists> m_parsed;
    std::string m_plans;
    std::string m_entitlements;
};

} // namespace caperjunction::program

#endif
