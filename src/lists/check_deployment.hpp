#ifndef CAPERJUNCTION_LISTS_CHECK_DEPLOYMENT_HPP
#define CAPERJUNCTION_LISTS_CHECK_DEPLOYMENT_HPP

#include "lists/entitlement_list.hpp"
#include "lists/fault.hpp"
#include "model/host_list.hpp"
#include "model/upstream_list.hpp"

#include <vector>

namespace caperjunction::lists {

/// What the entitlements name that the platform does not list: a home region
/// without hosts, a model on no engine, a service without instances.
///
/// For the offline check alone. The platform's lists lag and change by
/// themselves, so a router that refused a list for this would drop a good one
/// while a region is away. Thread safety: no shared state.
std::vector<fault> check_deployment(entitlement_list const& entitlements,
                                    model::host_list const& hosts,
                                    model::upstream_list const& upstreams);

} // namespace caperjunction::lists

#endif
