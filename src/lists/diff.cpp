#include "lists/diff.hpp"

#include <map>
#include <string>

namespace caperjunction::lists {
namespace {

/// Appends the differences between two arrays, matching entries by name.
template <typename Entry>
void append_changes(std::string const& path,
                    std::map<std::string, Entry const*> const& before,
                    std::map<std::string, Entry const*> const& after,
                    std::vector<change>& changes)
{
    for (auto const& [name, entry] : before) {
        auto const match = after.find(name);
        if (match == after.end()) {
            changes.push_back({change_kind::removed, path + name});
        } else if (!(*match->second == *entry)) {
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
std::map<std::string, Entry const*>
index_by_name(std::vector<Entry> const& entries)
{
    std::map<std::string, Entry const*> index;
    for (Entry const& entry : entries) {
        index.emplace(entry.name, &entry);
    }
    return index;
}

std::map<std::string, team const*> index_teams(plan_list const& list)
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
index_by_plan(std::vector<entitlement> const& entries)
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
    append_changes("tiers/",
                   index_by_name(before.tiers),
                   index_by_name(after.tiers),
                   changes);
    append_changes("classes/",
                   index_by_name(before.classes),
                   index_by_name(after.classes),
                   changes);
    append_changes("plans/",
                   index_by_name(before.plans),
                   index_by_name(after.plans),
                   changes);
    append_changes("teams/", index_teams(before), index_teams(after), changes);
    return changes;
}

std::vector<change> diff(entitlement_list const& before,
                         entitlement_list const& after)
{
    std::vector<change> changes;
    append_changes("models/",
                   index_by_name(before.models),
                   index_by_name(after.models),
                   changes);
    append_changes("services/",
                   index_by_name(before.services),
                   index_by_name(after.services),
                   changes);
    append_changes("entitlements/",
                   index_by_plan(before.entitlements),
                   index_by_plan(after.entitlements),
                   changes);
    return changes;
}

} // namespace caperjunction::lists
