#include "program/list_checker.hpp"

#include "lists/check.hpp"
#include "lists/parse.hpp"
#include "lists/parse_hosts.hpp"
#include "lists/parse_upstreams.hpp"

#include <utility>

namespace caperjunction::program {
namespace {

parsed_lists parse(std::string const& plans,
                   std::string const& entitlements,
                   std::vector<lists::fault>& faults)
{
    return {lists::parse_plans(plans, "plans", faults),
            lists::parse_entitlements(entitlements, "entitlements", faults)};
}

} // namespace

std::vector<lists::fault> list_checker::check(fleet::value_bodies const& bodies)
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
    parsed_lists parsed = parse(*bodies.plans, *bodies.entitlements, faults);
    if (faults.empty()) {
        faults = lists::check(parsed.plans, parsed.entitlements);
    }
    if (faults.empty()) {
        m_parsed = std::move(parsed);
        m_plans = *bodies.plans;
        m_entitlements = *bodies.entitlements;
    }
    return faults;
}

parsed_lists list_checker::take_parsed(std::string const& plans,
                                       std::string const& entitlements)
{
    bool const is_cached =
        m_parsed && m_plans == plans && m_entitlements == entitlements;
    if (is_cached) {
        return *std::exchange(m_parsed, std::nullopt);
    }
    std::vector<lists::fault> faults;
    return parse(plans, entitlements, faults);
}

} // namespace caperjunction::program
