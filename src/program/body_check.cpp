#include "program/body_check.hpp"

#include "lists/check.hpp"
#include "lists/parse.hpp"
#include "lists/parse_hosts.hpp"
#include "lists/parse_upstreams.hpp"

namespace caperjunction::program {

std::vector<lists::fault> check_published(fleet::value_bodies const& bodies)
{
    std::vector<lists::fault> faults;
    if (bodies.hosts != nullptr) {
        lists::parse_hosts(*bodies.hosts, "hosts", faults);
    }
    if (bodies.upstreams != nullptr) {
        lists::parse_upstreams(*bodies.upstreams, "upstreams", faults);
    }
    if (bodies.plans == nullptr || bodies.entitlements == nullptr) {
        return faults;
    }
    auto const plans = lists::parse_plans(*bodies.plans, "plans", faults);
    auto const entitlements =
        lists::parse_entitlements(*bodies.entitlements, "entitlements", faults);
    if (!faults.empty()) {
        return faults;
    }
    return lists::check(plans, entitlements);
}

} // namespace caperjunction::program
