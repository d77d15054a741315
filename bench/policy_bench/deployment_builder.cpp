#include "bench/policy_bench/deployment_builder.hpp"

#include <utility>

namespace caperjunction::bench {
namespace {

constexpr char const* plan_name = "member";

lists::entitlement_list entitle(std::vector<class_load> const& loads)
{
    lists::entitlement_list list;
    lists::entitlement entry;
    entry.plan = plan_name;
    for (class_load const& load : loads) {
        if (!load.service.empty()) {
            lists::service_entry service;
            service.name = load.service;
            service.calls.push_back({"POST", "/", false});
            list.services.push_back(service);
            entry.services.push_back(load.service);
        } else if (list.models.empty()) {
            list.models.push_back({load.model, 32'768});
            entry.models.push_back(load.model);
        }
    }
    list.entitlements.push_back(entry);
    return list;
}

} // namespace

deployment_builder::deployment_builder(deployment& into)
    : m_deployment(into)
{
}

void deployment_builder::add_hosts(std::string const& region,
                                   std::string const& data_centre,
                                   std::size_t count)
{
    for (std::size_t left = count; left > 0; --left) {
        model::host host;
        host.name = "host-" + std::to_string(m_deployment.hosts.size() + 1);
        host.region = region;
        host.data_centre = data_centre;
        m_deployment.hosts.push_back(host);
    }
}

void deployment_builder::add_engines(std::string const& region,
                                     std::string const& data_centre,
                                     std::string const& model,
                                     std::size_t count)
{
    auto& engines = m_deployment.upstreams.engines;
    for (std::size_t left = count; left > 0; --left) {
        model::engine engine;
        engine.name = "engine-" + std::to_string(engines.size() + 1);
        engine.region = region;
        engine.data_centre = data_centre;
        engine.models.push_back(model);
        engine.slots = m_deployment.engine.slots;
        engines.push_back(engine);
    }
}

void deployment_builder::add_service(std::string const& region,
                                     std::string const& data_centre,
                                     std::string const& service)
{
    auto& services = m_deployment.upstreams.services;
    model::service_instance instance;
    instance.service = service;
    instance.name = service + "-" + std::to_string(services.size() + 1);
    instance.region = region;
    instance.data_centre = data_centre;
    services.push_back(instance);
}

void deployment_builder::finish(std::vector<lists::tier> tiers,
                                std::vector<lists::service_class> classes)
{
    lists::plan_list plans;
    plans.revision = 1;
    plans.tiers = std::move(tiers);
    plans.classes = std::move(classes);
    lists::plan plan;
    plan.name = plan_name;
    for (class_load& load : m_deployment.loads) {
        load.plan = plan_name;
        plan.classes.push_back(load.service_class);
    }
    plans.plans.push_back(plan);
    lists::customer customer;
    customer.name = m_deployment.name;
    for (std::size_t team = 0; team < m_deployment.team_weights.size();
         ++team) {
        customer.teams.push_back(
            {"team-" + std::to_string(team + 1), plan_name, {}});
    }
    plans.customers.push_back(customer);
    lists::entitlement_list entitlements = entitle(m_deployment.loads);
    entitlements.revision = 1;
    m_deployment.upstreams.revision = 1;
    m_deployment.catalogue = std::make_shared<lists::catalogue const>(
        std::move(plans), std::move(entitlements));
}

} // namespace caperjunction::bench
