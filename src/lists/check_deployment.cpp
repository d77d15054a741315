#include "lists/check_deployment.hpp"

#include <set>
#include <string>

namespace caperjunction::lists {
namespace {

constexpr char const* entitlements_file = "entitlements";

struct deployed_names
{
    std::set<std::string> regions;
    std::set<std::string> models;
    std::set<std::string> services;
};

deployed_names collect_names(model::host_list const& hosts,
                             model::upstream_list const& upstreams)
{
    deployed_names names;
    for (model::host const& member : hosts.members) {
        names.regions.insert(member.region);
    }
    for (model::engine const& member : upstreams.engines) {
        names.models.insert(member.models.begin(), member.models.end());
    }
    for (model::service_instance const& member : upstreams.services) {
        names.services.insert(member.service);
    }
    return names;
}

std::string entry_path(char const* array, std::size_t index, char const* field)
{
    return std::string("/") + array + '/' + std::to_string(index) + '/' + field;
}

void check_models(entitlement_list const& list,
                  deployed_names const& deployed,
                  std::vector<fault>& faults)
{
    for (std::size_t index = 0; index < list.models.size(); ++index) {
        if (deployed.models.count(list.models[index].name) == 0) {
            faults.push_back(
                {entitlements_file,
                 entry_path("models", index, "name"),
                 "no engine serves '" + list.models[index].name + "'",
                 "add the model to an engine or remove it here"});
        }
    }
}

void check_services(entitlement_list const& list,
                    deployed_names const& deployed,
                    std::vector<fault>& faults)
{
    for (std::size_t index = 0; index < list.services.size(); ++index) {
        service_entry const& entry = list.services[index];
        if (deployed.services.count(entry.name) == 0) {
            faults.push_back({entitlements_file,
                              entry_path("services", index, "name"),
                              "'" + entry.name + "' has no instance",
                              "add an instance or remove it here"});
        }
        if (!entry.home_region.empty()
            && deployed.regions.count(entry.home_region) == 0) {
            faults.push_back({entitlements_file,
                              entry_path("services", index, "home_region"),
                              "'" + entry.home_region + "' has no host",
                              "use a region that has hosts"});
        }
    }
}

} // namespace

std::vector<fault> check_deployment(entitlement_list const& entitlements,
                                    model::host_list const& hosts,
                                    model::upstream_list const& upstreams)
{
    std::vector<fault> faults;
    deployed_names const deployed = collect_names(hosts, upstreams);
    check_models(entitlements, deployed, faults);
    check_services(entitlements, deployed, faults);
    return faults;
}

} // namespace caperjunction::lists
