#ifndef CAPERJUNCTION_LISTS_CHECK_DEPLOYMENT_HPP
#define CAPERJUNCTION_LISTS_CHECK_DEPLOYMENT_HPP

#include "lists/entitlement_list.hpp"
#include "lists/fault.hpp"
#include "model/host_list.hpp"
#include "model/upstream_list.hpp"

#include <vector>

namespace caperjunction::lists {

/// Returns a fault for each entry of the entitlements that the platform's lists
/// do not cover: a home region without hosts, a model without an engine, a
/// service without instances.
///
/// Used only by the offline check. The platform's lists lag and change
/// independently, so a router that applied this check would reject a valid list
/// while a region is unavailable. Thread safety: no shared state.
std::vector<fault> check_deployment(entitlement_list const& entitlements,
                                    model::host_list const& hosts,
                                    model::upstream_list const& upstreams);

} // namespace caperjunction::lists

#endif
