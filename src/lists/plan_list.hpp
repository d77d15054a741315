#ifndef CAPERJUNCTION_LISTS_PLAN_LIST_HPP
#define CAPERJUNCTION_LISTS_PLAN_LIST_HPP

#include "lists/customer.hpp"
#include "lists/plan.hpp"
#include "lists/service_class.hpp"
#include "lists/tier.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::lists {

/// The first of the operators' two lists: who has which plan.
struct plan_list
{
    /// Given by the platform at publishing; not part of the text.
    std::uint64_t revision = 0;
    std::vector<tier> tiers;
    std::vector<service_class> classes;
    std::vector<plan> plans;
    std::vector<customer> customers;
};

} // namespace caperjunction::lists

#endif
