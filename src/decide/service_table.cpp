#include "decide/service_table.hpp"

namespace caperjunction::decide {

namespace {

// Calls that one host has open at one instance. Services answer in
// milliseconds; more than this means that it hangs, and further calls would
// only be lost with it.
constexpr std::uint32_t max_outstanding = 256;

} // namespace

service_table::service_table(std::string region)
    : m_region(std::move(region))
{
}

void service_table::apply(model::upstream_list const& listed)
{
    for (instance& one : m_instances) {
        one.listed = false;
    }
    for (auto& places : m_by_service) {
        places.clear();
    }
    for (model::service_instance const& source : listed.services) {
        index const service = m_services.intern(source.service);
        if (service == m_by_service.size()) {
            m_by_service.emplace_back();
        }
        index const place = m_names.intern(source.name);
        if (place == m_instances.size()) {
            m_instances.emplace_back();
        }
        instance& one = m_instances[place];
        one.service = service;
        one.own_region = source.region == m_region;
        one.listed = !source.leaving;
        if (one.listed) {
            m_by_service[service].push_back(place);
        }
    }
}

index service_table::choose(index service, index avoided) const
{
    index best = no_index;
    for (index const place : m_by_service[service]) {
        instance const& one = m_instances[place];
        if (place == avoided || one.outstanding >= max_outstanding) {
            continue;
        }
        if (best == no_index) {
            best = place;
            continue;
        }
        instance const& other = m_instances[best];
        bool const nearer = one.own_region && !other.own_region;
        bool const as_near = one.own_region == other.own_region;
        if (nearer || (as_near && one.outstanding < other.outstanding)) {
            best = place;
        }
    }
    return best;
}

bool service_table::has_instances(index service) const
{
    return !m_by_service[service].empty();
}

void service_table::started(index place)
{
    ++m_instances[place].outstanding;
}

void service_table::ended(index place)
{
    --m_instances[place].outstanding;
}

} // namespace caperjunction::decide
