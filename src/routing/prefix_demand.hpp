#ifndef CAPERJUNCTION_ROUTING_PREFIX_DEMAND_HPP
#define CAPERJUNCTION_ROUTING_PREFIX_DEMAND_HPP

#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace caperjunction::routing {

/// Demand of this host for prompts of each shared prefix, in tokens a second.
///
/// A request counts its own tokens, because the prefix is read only once by
/// each engine, and the tokens that the engine could read in the time of its
/// stream, divided by the streams that the engine runs at once.
///
/// Thread safety: none; owned by one task.
class prefix_demand
{
public:
    /// 2,048 entries take about 100 kB.
    static constexpr std::size_t max_prefixes = 2'048;

    /// Records a request of `tokens`.
    void record(std::uint64_t prefix, double tokens, model::time_point now);

    /// Returns the demand, reduced by the standard deviation of the number of
    /// requests: in a large fleet, one request at a host would otherwise count
    /// as one at every host.
    double tokens_per_second(std::uint64_t prefix, model::time_point now) const;

    std::size_t size() const
    {
        return m_entries.size();
    }

private:
    /// Decayed sums.
    struct entry
    {
        double requests = 0.0;
        double tokens = 0.0;
        model::time_point updated_at{};
    };

    static double decay(entry const& of, model::time_point now);
    void evict(model::time_point now);

    std::unordered_map<std::uint64_t, entry> m_entries;
};

} // namespace caperjunction::routing

#endif
