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

/// The operators' two lists, parsed.
struct parsed_lists
{
    lists::plan_list plans;
    lists::entitlement_list entitlements;
};

/// Checks published bodies as the process will read them, and keeps what it
/// parsed last: a pair that passes is put in force right after, and parsing a
/// list of 530 teams twice would double the cost of each change.
///
/// Thread safety: none; owned by one task.
class list_checker
{
public:
    std::vector<lists::fault> check(fleet::value_bodies const& bodies);

    /// The lists of these two bodies. \pre The pair has passed `check`.
    parsed_lists take_parsed(std::string const& plans,
                             std::string const& entitlements);

private:
    std::optional<parsed_lists> m_parsed;
    std::string m_plans;
    std::string m_entitlements;
};

} // namespace caperjunction::program

#endif
