#include "lists/diff.hpp"

#include <map>
#include <string>

namespace caperjunction::lists {
namespace {

/// Compares the entries of one array by their names.
template <typename Entry>
void compare(std::string const& path,
             std::map<std::string, Entry const*> const& before,
             std::map<std::string, Entry const*> const& after,
             std::vector<change>& changes)
{
    for (auto const& [name, entry] : before) {
        auto const kept = after.find(name);
        if (kept == after.end()) {
            changes.push_back({change_kind::removed, path + name});
        } else if (!(*kept->second == *entry)) {
            changes.push_back({change_kind::altered, path + name});
        }
    }
    for (auto const& [name, entry] : after) {
        if (before.count(name) == 0) {
            changes.push_back({change_kind::added, path + name});
        }
    }
}

template <typename Entry>
std::map<std::string, Entry const*> by_name(std::vector<Entry> const& entries)
{
    std::map<std::string, Entry const*> index;
    for (Entry const& entry : entries) {
        index.emplace(entry.name, &entry);
    }
    return index;
}

std::map<std::string, team const*> teams_by_name(plan_list const& list)
{
    std::map<std::string, team const*> index;
    for (customer const& owner : list.customers) {
        for (team const& member : owner.teams) {
            index.emplace(owner.name + '/' + member.name, &member);
        }
    }
    return index;
}

std::map<std::string, entitlement const*>
by_plan(std::vector<entitlement> const& entries)
{
    std::map<std::string, entitlement const*> index;
    for (entitlement const& entry : entries) {
        index.emplace(entry.plan, &entry);
    }
    return index;
}

} // namespace

std::vector<change> diff(plan_list const& before, plan_list const& after)
{
    std::vector<change> changes;
    compare("tiers/", by_name(before.tiers), by_name(after.tiers), changes);
    compare(
        "classes/", by_name(before.classes), by_name(after.classes), changes);
    compare("plans/", by_name(before.plans), by_name(after.plans), changes);
    compare("teams/", teams_by_name(before), teams_by_name(after), changes);
    return changes;
}

std::vector<change> diff(entitlement_list const& before,
                         entitlement_list const& after)
{
    std::vector<change> changes;
    compare("models/", by_name(before.models), by_name(after.models), changes);
    compare("services/",
            by_name(before.services),
            by_name(after.services),
            changes);
    compare("entitlements/",
            by_plan(before.entitlements),
            by_plan(after.entitlements),
            changes);
    return changes;
}

} // namespace caperjunction::lists
