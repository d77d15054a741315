#ifndef CAPERJUNCTION_LISTS_PLAN_LIST_HPP
#define CAPERJUNCTION_LISTS_PLAN_LIST_HPP

#include "lists/customer.hpp"
#include "lists/plan.hpp"
#include "lists/service_class.hpp"
#include "lists/tier.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::lists {

/// First of the two lists maintained by operators: tiers, service classes,
/// plans and the customers that hold them.
struct plan_list
{
    /// Assigned by the platform on publication; not part of the JSON text.
    std::uint64_t revision = 0;
    std::vector<tier> tiers;
    std::vector<service_class> classes;
    std::vector<plan> plans;
    std::vector<customer> customers;
};

} // namespace caperjunction::lists

#endif
