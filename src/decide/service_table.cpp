#include "decide/service_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace caperjunction::decide {

namespace {

// Maximum concurrent calls of one host to one instance. Services answer in
// milliseconds, so more calls mean that the instance hangs, and further ones
// would be lost with it.
constexpr std::uint32_t max_outstanding = 256;

// Then one call tries whether the instance is back. A booking that finds it
// down is refused.
constexpr model::milliseconds unreachable_time{1'000};

} // namespace

service_table::service_table(std::string region)
    : m_region(std::move(region))
{
}

void service_table::apply(model::upstream_list const& listed)
{
    for (instance& target : m_instances) {
        target.listed = false;
    }
    for (auto& indices : m_by_service) {
        indices.clear();
    }
    for (model::service_instance const& source : listed.services) {
        index const service = m_services.intern(source.service);
        if (service == m_by_service.size()) {
            m_by_service.emplace_back();
        }
        index const instance_index = m_names.intern(source.name);
        if (instance_index == m_instances.size()) {
            m_instances.emplace_back();
        }
        instance& target = m_instances[instance_index];
        target.service = service;
        target.own_region = source.region == m_region;
        target.listed = !source.leaving;
        if (target.listed) {
            m_by_service[service].push_back(instance_index);
        }
    }
}

void service_table::pause(index instance_index, model::time_point until)
{
    model::time_point& paused = m_instances[instance_index].paused_until;
    paused = std::max(paused, until);
}

void service_table::record_unreachable(index instance_index,
                                       model::time_point now)
{
    m_instances[instance_index].avoided_until = now + unreachable_time;
}

bool service_table::is_preferred(instance const& left,
                                 instance const& right,
                                 model::time_point now)
{
    auto const rank = [now](instance const& item) {
        return std::tuple(
            now < item.avoided_until, !item.own_region, item.outstanding);
    };
    return rank(left) < rank(right);
}

index service_table::choose(index service,
                            index avoided,
                            model::time_point now) const
{
    index best = no_index;
    for (index const instance_index : m_by_service[service]) {
        instance const& candidate = m_instances[instance_index];
        if (instance_index == avoided || now < candidate.paused_until
            || candidate.outstanding >= max_outstanding) {
            continue;
        }
        if (best == no_index
            || is_preferred(candidate, m_instances[best], now)) {
            best = instance_index;
        }
    }
    return best;
}

bool service_table::has_instances(index service) const
{
    return !m_by_service[service].empty();
}

void service_table::record_start(index instance_index)
{
    ++m_instances[instance_index].outstanding;
}

void service_table::record_end(index instance_index)
{
    --m_instances[instance_index].outstanding;
}

} // namespace caperjunction::decide
