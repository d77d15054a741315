#ifndef CAPERJUNCTION_ROUTING_URGENT_DEMAND_TABLE_HPP
#define CAPERJUNCTION_ROUTING_URGENT_DEMAND_TABLE_HPP

#include "model/time.hpp"
#include "routing/peer_table.hpp"
#include "routing/recent_fleet_size.hpp"
#include "routing/upstream_directory.hpp"
#include "routing/urgent_demand.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace caperjunction::routing {

/// Demand of the most urgent streams of each service, over all hosts.
///
/// Thread safety: none; owned by one task.
class urgent_demand_table
{
public:
    /// Records that this host sent a most urgent prompt of which the engine
    /// prefills `tokens`.
    void record_sent(std::string_view service,
                     std::uint64_t tokens,
                     model::time_point now);

    /// Updates the expectations by the streams of this host and the digests of
    /// others. Must be called once per digest period, after
    /// `peer_table::aggregate`.
    ///
    /// Without `counts_work`, prompts are ignored, and streams of hosts that
    /// can't be reached are not added.
    void update(upstream_directory const& directory,
                peer_table const& peers,
                bool counts_work,
                model::time_point now);

    /// Returns the number of most urgent streams to expect, over all hosts;
    /// zero if the service is unknown.
    double expected_streams(std::string_view service) const;

    /// Returns the prompt tokens per second to expect of these streams, over
    /// all hosts; zero if the service is unknown.
    double expected_tokens_per_second(std::string_view service) const;

    /// Returns the prompt tokens per second that this host sends for these
    /// streams; zero if the service is unknown.
    double own_tokens_per_second(std::string_view service,
                                 model::time_point now) const;

private:
    urgent_demand& demand_of(std::string_view service);

    std::map<std::string, urgent_demand, std::less<>> m_services;
    recent_fleet_size m_fleet_size;
};

} // namespace caperjunction::routing

#endif
