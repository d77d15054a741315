#include "lists/check.hpp"

#include "model/limits.hpp"

#include <set>
#include <string>

namespace caperjunction::lists {
namespace {

constexpr char const* plans_file = "plans";
constexpr char const* entitlements_file = "entitlements";
// Shares come from text; sums such as 0.1 + 0.2 + 0.7 may pass 1 by a hair.
constexpr double share_tolerance = 1e-9;

/// Notes names that are given twice and references that lead nowhere.
class name_checker
{
public:
    explicit name_checker(std::vector<fault>& faults)
        : m_faults(faults)
    {
    }

    template <typename Entry>
    std::set<std::string> collect(char const* file,
                                  std::string const& path,
                                  std::vector<Entry> const& entries)
    {
        std::set<std::string> names;
        for (std::size_t place = 0; place < entries.size(); ++place) {
            take(file,
                 path + '/' + std::to_string(place) + "/name",
                 names,
                 entries[place].name);
        }
        return names;
    }

    void take(char const* file,
              std::string const& path,
              std::set<std::string>& taken,
              std::string const& name)
    {
        if (!taken.insert(name).second) {
            m_faults.push_back({file,
                                path,
                                "'" + name + "' is given twice",
                                "rename or remove one of the two"});
        }
    }

    void refer(char const* file,
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
place_path(char const* array, std::size_t place, std::string const& rest)
{
    return std::string("/") + array + '/' + std::to_string(place) + rest;
}

void check_tiers(plan_list const& plans, std::vector<fault>& faults)
{
    double sum = 0.0;
    std::set<std::uint32_t> ranks;
    for (std::size_t place = 0; place < plans.tiers.size(); ++place) {
        sum += plans.tiers[place].guaranteed_share;
        if (!ranks.insert(plans.tiers[place].rank).second) {
            faults.push_back({plans_file,
                              place_path("tiers", place, "/rank"),
                              "another tier has the same rank",
                              "give each tier a rank of its own"});
        }
    }
    if (sum > 1.0 + share_tolerance) {
        faults.push_back({plans_file,
                          "/tiers",
                          "the guaranteed shares add up to more than 1",
                          "lower some guaranteed_share"});
    }
    if (plans.tiers.empty() || plans.tiers.size() > model::limits::max_tiers) {
        faults.push_back({plans_file,
                          "/tiers",
                          "there are no tiers or more than 16",
                          "define 1 to 16 tiers"});
    }
}

void check_plans(plan_list const& plans,
                 std::set<std::string> const& tiers,
                 std::set<std::string> const& classes,
                 name_checker& names,
                 std::vector<fault>& faults)
{
    for (std::size_t place = 0; place < plans.classes.size(); ++place) {
        names.refer(plans_file,
                    place_path("classes", place, "/tier"),
                    tiers,
                    plans.classes[place].tier,
                    "define this tier or name another");
    }
    for (std::size_t place = 0; place < plans.plans.size(); ++place) {
        if (plans.plans[place].classes.empty()) {
            faults.push_back(
                {plans_file,
                 place_path("plans", place, "/classes"),
                 "names no class",
                 "name at least one class; the first is the default"});
        }
        for (std::string const& name : plans.plans[place].classes) {
            names.refer(plans_file,
                        place_path("plans", place, "/classes"),
                        classes,
                        name,
                        "define this class or name another");
        }
    }
}

void check_customers(plan_list const& plans,
                     std::set<std::string> const& plan_names,
                     name_checker& names,
                     std::vector<fault>& faults)
{
    std::set<std::string> key_ids;
    for (std::size_t place = 0; place < plans.customers.size(); ++place) {
        auto const& teams = plans.customers[place].teams;
        std::string const path = place_path("customers", place, "/teams");
        names.collect(plans_file, path, teams);
        for (std::size_t index = 0; index < teams.size(); ++index) {
            std::string const team_path = path + '/' + std::to_string(index);
            names.refer(plans_file,
                        team_path + "/plan",
                        plan_names,
                        teams[index].plan,
                        "define this plan or name another");
            for (api_key const& key : teams[index].keys) {
                if (!key_ids.insert(key.id).second) {
                    faults.push_back({plans_file,
                                      team_path + "/keys",
                                      "key id '" + key.id + "' is given twice",
                                      "issue a key with another id"});
                }
            }
        }
    }
}

void check_entitlements(entitlement_list const& list,
                        std::set<std::string> const& plan_names,
                        name_checker& names)
{
    auto const models =
        names.collect(entitlements_file, "/models", list.models);
    auto const services =
        names.collect(entitlements_file, "/services", list.services);
    std::set<std::string> entitled;
    for (std::size_t place = 0; place < list.entitlements.size(); ++place) {
        entitlement const& entry = list.entitlements[place];
        names.take(entitlements_file,
                   place_path("entitlements", place, "/plan"),
                   entitled,
                   entry.plan);
        names.refer(entitlements_file,
                    place_path("entitlements", place, "/plan"),
                    plan_names,
                    entry.plan,
                    "define this plan in the list of plans or name another");
        for (std::string const& name : entry.models) {
            names.refer(entitlements_file,
                        place_path("entitlements", place, "/models"),
                        models,
                        name,
                        "define this model or name another");
        }
        for (std::string const& name : entry.services) {
            names.refer(entitlements_file,
                        place_path("entitlements", place, "/services"),
                        services,
                        name,
                        "define this service or name another");
        }
    }
}

} // namespace

std::vector<fault> check(plan_list const& plans,
                         entitlement_list const& entitlements)
{
    std::vector<fault> faults;
    name_checker names(faults);
    auto const tiers = names.collect(plans_file, "/tiers", plans.tiers);
    auto const classes = names.collect(plans_file, "/classes", plans.classes);
    auto const plan_names = names.collect(plans_file, "/plans", plans.plans);
    names.collect(plans_file, "/customers", plans.customers);
    check_tiers(plans, faults);
    check_plans(plans, tiers, classes, names, faults);
    check_customers(plans, plan_names, names, faults);
    check_entitlements(entitlements, plan_names, names);
    return faults;
}

} // namespace caperjunction::lists
