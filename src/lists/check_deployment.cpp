#include "lists/check_deployment.hpp"

#include <set>
#include <string>

namespace caperjunction::lists {
namespace {

constexpr char const* entitlements_file = "entitlements";

struct deployed
{
    std::set<std::string> regions;
    std::set<std::string> models;
    std::set<std::string> services;
};

deployed collect(model::host_list const& hosts,
                 model::upstream_list const& upstreams)
{
    deployed found;
    for (model::host const& member : hosts.members) {
        found.regions.insert(member.region);
    }
    for (model::engine const& member : upstreams.engines) {
        found.models.insert(member.models.begin(), member.models.end());
    }
    for (model::service_instance const& member : upstreams.services) {
        found.services.insert(member.service);
    }
    return found;
}

std::string place_path(char const* array, std::size_t place, char const* field)
{
    return std::string("/") + array + '/' + std::to_string(place) + '/' + field;
}

void check_models(entitlement_list const& list,
                  deployed const& there,
                  std::vector<fault>& faults)
{
    for (std::size_t place = 0; place < list.models.size(); ++place) {
        if (there.models.count(list.models[place].name) == 0) {
            faults.push_back(
                {entitlements_file,
                 place_path("models", place, "name"),
                 "no engine serves '" + list.models[place].name + "'",
                 "add it to an engine or remove it here"});
        }
    }
}

void check_services(entitlement_list const& list,
                    deployed const& there,
                    std::vector<fault>& faults)
{
    for (std::size_t place = 0; place < list.services.size(); ++place) {
        service_entry const& entry = list.services[place];
        if (there.services.count(entry.name) == 0) {
            faults.push_back({entitlements_file,
                              place_path("services", place, "name"),
                              "'" + entry.name + "' has no instance",
                              "add an instance or remove it here"});
        }
        if (!entry.home_region.empty()
            && there.regions.count(entry.home_region) == 0) {
            faults.push_back({entitlements_file,
                              place_path("services", place, "home_region"),
                              "'" + entry.home_region + "' has no host",
                              "name a region that has hosts"});
        }
    }
}

} // namespace

std::vector<fault> check_deployment(entitlement_list const& entitlements,
                                    model::host_list const& hosts,
                                    model::upstream_list const& upstreams)
{
    std::vector<fault> faults;
    deployed const there = collect(hosts, upstreams);
    check_models(entitlements, there, faults);
    check_services(entitlements, there, faults);
    return faults;
}

} // namespace caperjunction::lists
