#include "lists/check.hpp"

#include "model/limits.hpp"

#include <set>
#include <string>

namespace caperjunction::lists {
namespace {

constexpr char const* plans_file = "plans";
constexpr char const* entitlements_file = "entitlements";
// Rounding: the sum of decimal shares such as 0.1 + 0.2 + 0.7 can slightly
// exceed 1.
constexpr double share_tolerance = 1e-9;

/// Reports duplicate names and references to undefined names.
class name_checker
{
public:
    explicit name_checker(std::vector<fault>& faults)
        : m_faults(faults)
    {
    }

    template <typename Entry>
    std::set<std::string> collect_names(char const* file,
                                        std::string const& path,
                                        std::vector<Entry> const& entries)
    {
        std::set<std::string> names;
        for (std::size_t index = 0; index < entries.size(); ++index) {
            add_unique(file,
                       path + '/' + std::to_string(index) + "/name",
                       names,
                       entries[index].name);
        }
        return names;
    }

    void add_unique(char const* file,
                    std::string const& path,
                    std::set<std::string>& seen,
                    std::string const& name)
    {
        if (!seen.insert(name).second) {
            m_faults.push_back({file,
                                path,
                                "'" + name + "' is a duplicate",
                                "rename or remove one of the two"});
        }
    }

    void check_reference(char const* file,
                         std::string const& path,
                         std::set<std::string> const& names,
                         std::string const& name,
                         char const* remedy)
    {
        if (names.count(name) == 0) {
            m_faults.push_back(
                {file, path, "'" + name + "' is not defined", remedy});
        }
    }

private:
    std::vector<fault>& m_faults;
};

std::string
entry_path(char const* array, std::size_t index, std::string const& rest)
{
    return std::string("/") + array + '/' + std::to_string(index) + rest;
}

void check_tiers(plan_list const& plans, std::vector<fault>& faults)
{
    double share_sum = 0.0;
    std::set<std::uint32_t> ranks;
    for (std::size_t index = 0; index < plans.tiers.size(); ++index) {
        share_sum += plans.tiers[index].guaranteed_share;
        if (!ranks.insert(plans.tiers[index].rank).second) {
            faults.push_back({plans_file,
                              entry_path("tiers", index, "/rank"),
                              "another tier has the same rank",
                              "give each tier a unique rank"});
        }
    }
    if (share_sum > 1.0 + share_tolerance) {
        faults.push_back({plans_file,
                          "/tiers",
                          "the sum of the guaranteed shares exceeds 1",
                          "lower the guaranteed_share of a tier"});
    }
    if (plans.tiers.empty() || plans.tiers.size() > model::limits::max_tiers) {
        faults.push_back({plans_file,
                          "/tiers",
                          "the number of tiers is not within 1 to 16",
                          "define 1 to 16 tiers"});
    }
}

void check_plans(plan_list const& plans,
                 std::set<std::string> const& tiers,
                 std::set<std::string> const& classes,
                 name_checker& checker,
                 std::vector<fault>& faults)
{
    for (std::size_t index = 0; index < plans.classes.size(); ++index) {
        checker.check_reference(plans_file,
                                entry_path("classes", index, "/tier"),
                                tiers,
                                plans.classes[index].tier,
                                "define this tier or reference another");
    }
    for (std::size_t index = 0; index < plans.plans.size(); ++index) {
        if (plans.plans[index].classes.empty()) {
            faults.push_back(
                {plans_file,
                 entry_path("plans", index, "/classes"),
                 "contains no class",
                 "name at least one class; the first is the default"});
        }
        for (std::string const& name : plans.plans[index].classes) {
            checker.check_reference(plans_file,
                                    entry_path("plans", index, "/classes"),
                                    classes,
                                    name,
                                    "define this class or reference another");
        }
    }
}

void check_customers(plan_list const& plans,
                     std::set<std::string> const& plan_names,
                     name_checker& checker,
                     std::vector<fault>& faults)
{
    std::set<std::string> key_ids;
    for (std::size_t customer_index = 0;
         customer_index < plans.customers.size();
         ++customer_index) {
        auto const& teams = plans.customers[customer_index].teams;
        std::string const path =
            entry_path("customers", customer_index, "/teams");
        checker.collect_names(plans_file, path, teams);
        for (std::size_t team_index = 0; team_index < teams.size();
             ++team_index) {
            std::string const team_path =
                path + '/' + std::to_string(team_index);
            checker.check_reference(plans_file,
                                    team_path + "/plan",
                                    plan_names,
                                    teams[team_index].plan,
                                    "define this plan or reference another");
            for (api_key const& key : teams[team_index].keys) {
                if (!key_ids.insert(key.id).second) {
                    faults.push_back({plans_file,
                                      team_path + "/keys",
                                      "key id '" + key.id + "' is a duplicate",
                                      "issue a key with a different id"});
                }
            }
        }
    }
}

void check_entitlements(entitlement_list const& list,
                        std::set<std::string> const& plan_names,
                        name_checker& checker)
{
    auto const models =
        checker.collect_names(entitlements_file, "/models", list.models);
    auto const services =
        checker.collect_names(entitlements_file, "/services", list.services);
    std::set<std::string> entitled_plans;
    for (std::size_t index = 0; index < list.entitlements.size(); ++index) {
        entitlement const& entry = list.entitlements[index];
        checker.add_unique(entitlements_file,
                           entry_path("entitlements", index, "/plan"),
                           entitled_plans,
                           entry.plan);
        checker.check_reference(
            entitlements_file,
            entry_path("entitlements", index, "/plan"),
            plan_names,
            entry.plan,
            "define this plan in the list of plans or reference another");
        for (std::string const& name : entry.models) {
            checker.check_reference(
                entitlements_file,
                entry_path("entitlements", index, "/models"),
                models,
                name,
                "define this model or reference another");
        }
        for (std::string const& name : entry.services) {
            checker.check_reference(
                entitlements_file,
                entry_path("entitlements", index, "/services"),
                services,
                name,
                "define this service or reference another");
        }
    }
}

} // namespace

std::vector<fault> check(plan_list const& plans,
                         entitlement_list const& entitlements)
{
    std::vector<fault> faults;
    name_checker checker(faults);
    auto const tiers = checker.collect_names(plans_file, "/tiers", plans.tiers);
    auto const classes =
        checker.collect_names(plans_file, "/classes", plans.classes);
    auto const plan_names =
        checker.collect_names(plans_file, "/plans", plans.plans);
    checker.collect_names(plans_file, "/customers", plans.customers);
    check_tiers(plans, faults);
    check_plans(plans, tiers, classes, checker, faults);
    check_customers(plans, plan_names, checker, faults);
    check_entitlements(entitlements, plan_names, checker);
    return faults;
}

} // namespace caperjunction::lists
