#include "routing/urgent_demand_table.hpp"

namespace caperjunction::routing {

urgent_demand& urgent_demand_table::demand_of(std::string_view service)
{
    auto const known = m_services.find(service);
    return known != m_services.end() ? known->second
                                     : m_services[std::string(service)];
}

void urgent_demand_table::record_sent(std::string_view service,
                                      std::uint64_t tokens,
                                      model::time_point now)
{
    demand_of(service).record_sent(tokens, now);
}

void urgent_demand_table::update(upstream_directory const& directory,
                                 peer_table const& peers,
                                 bool counts_work,
                                 model::time_point now)
{
    m_fleet_size.record(peers.alive() + 1, now);
    directory.each_service([&](std::string const& service) {
        auto const others = peers.load_of(urgent_load_key(service)).load;
        urgent_demand::reports reports;
        reports.own_streams = directory.own_urgent_streams(service);
        reports.others_streams = others.running;
        if (counts_work) {
            reports.others_tokens_per_second = others.pending_prefill_tokens;
            reports.max_tokens_per_second =
                directory.prefill_tokens_per_second(service);
            reports.hosts_per_known =
                static_cast<double>(m_fleet_size.largest())
                / static_cast<double>(peers.hosts_with_loads());
        }
        demand_of(service).update(reports, now);
    });
}

double urgent_demand_table::expected_streams(std::string_view service) const
{
    auto const known = m_services.find(service);
    return known == m_services.end() ? 0.0 : known->second.expected_streams();
}

double
urgent_demand_table::expected_tokens_per_second(std::string_view service) const
{
    auto const known = m_services.find(service);
    return known == m_services.end()
               ? 0.0
               : known->second.expected_tokens_per_second();
}

double urgent_demand_table::own_tokens_per_second(std::string_view service,
                                                  model::time_point now) const
{
    auto const known = m_services.find(service);
    return known == m_services.end() ? 0.0
                                     : known->second.own_tokens_per_second(now);
}

} // namespace caperjunction::routing
