#ifndef CAPERJUNCTION_ROUTING_DEMAND_METER_HPP
#define CAPERJUNCTION_ROUTING_DEMAND_METER_HPP

#include "model/time.hpp"
#include "routing/team_demand.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caperjunction::routing {

/// Measures the demand of teams at this host: prompt tokens a second with a
/// half-life of a second.
///
/// Thread safety: none; owned by one task.
class demand_meter
{
public:
    /// Records a request of `tokens` that may be refused.
    void record_asked(std::string_view service,
                      std::string_view team,
                      std::uint32_t tokens,
                      model::time_point now);

    /// Records that a request of `tokens` was sent to an upstream and is
    /// expected to begin within its latency target.
    void record_admitted(std::string_view service,
                         std::string_view team,
                         std::uint32_t tokens,
                         model::time_point now);

    /// Records that a request of `tokens`, which was recorded as admitted, has
    /// not begun within its target.
    void record_late(std::string_view service,
                     std::string_view team,
                     std::uint32_t tokens,
                     model::time_point now);

    /// Returns for each service the `count` teams that ask most, and all others
    /// as one entry. Forgets teams that ask nothing any more.
    std::vector<team_demand> largest(model::time_point now, std::size_t count);

    /// Returns the number of teams with demand, once for each service.
    std::size_t size() const
    {
        return m_size;
    }

    /// Teams beyond this number are recorded as other teams of their service.
    static constexpr std::size_t max_teams = 4'096;

private:
    /// Decayed sums of tokens as of `at`.
    struct sums
    {
        double asked = 0.0;
        double admitted = 0.0;
        model::time_point at{};

        void decay(model::time_point now);
    };

    struct service_demand
    {
        std::uint32_t others_key = 0;
        /// By key.
        std::unordered_map<std::uint32_t, sums> teams;
    };

    sums& sums_of(std::string_view service,
                  std::string_view team,
                  model::time_point now);
    void forget_idle(service_demand& demand, model::time_point now);

    std::map<std::string, service_demand, std::less<>> m_services;
    std::size_t m_size = 0;
};

} // namespace caperjunction::routing

#endif
