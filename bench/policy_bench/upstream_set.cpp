#include "bench/policy_bench/upstream_set.hpp"

namespace caperjunction::bench {

upstream_set::upstream_set(deployment const& deployment,
                           event_queue& queue,
                           hook_maker const& make_hooks)
{
    for (model::engine const& one : deployment.upstreams.engines) {
        m_engines.push_back(std::make_unique<fake_engine>(
            deployment.engine, queue, make_hooks(m_names.size())));
        m_places.push_back(deployment.place_of(one.region, one.data_centre));
        m_names.push_back(one.name);
    }
    for (model::service_instance const& one : deployment.upstreams.services) {
        m_services.push_back(
            std::make_unique<fake_service>(queue, make_hooks(m_names.size())));
        m_places.push_back(deployment.place_of(one.region, one.data_centre));
        m_names.push_back(one.name);
    }
    for (std::size_t index = 0; index < m_names.size(); ++index) {
        m_index[m_names[index]] = index;
    }
}

std::size_t upstream_set::find(std::string const& name) const
{
    auto const found = m_index.find(name);
    return found == m_index.end() ? none : found->second;
}

std::string const& upstream_set::name(std::size_t upstream) const
{
    return m_names[upstream];
}

place const& upstream_set::place_of(std::size_t upstream) const
{
    return m_places[upstream];
}

bool upstream_set::up(std::size_t upstream) const
{
    return upstream >= m_engines.size() || m_engines[upstream]->up();
}

fake_engine& upstream_set::engine(std::size_t upstream)
{
    return *m_engines[upstream];
}

fake_service& upstream_set::service(std::size_t upstream)
{
    return *m_services[upstream - m_engines.size()];
}

} // namespace caperjunction::bench
