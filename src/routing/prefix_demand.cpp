#include "routing/prefix_demand.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <vector>

namespace caperjunction::routing {
namespace {

/// Shorter than a burst, and long enough for several requests of a prefix with
/// high demand to reach each host.
constexpr double half_life_seconds = 5.0;
constexpr double mean_life_seconds = half_life_seconds * 1.4427;

} // namespace

double prefix_demand::decay(entry const& of, model::time_point now)
{
    double const elapsed = model::seconds(now - of.updated_at).count();
    return std::exp2(-std::max(0.0, elapsed) / half_life_seconds);
}

void prefix_demand::record(std::uint64_t prefix,
                           double tokens,
                           model::time_point now)
{
    if (m_entries.size() >= max_prefixes && m_entries.count(prefix) == 0) {
        evict(now);
    }
    entry& sums = m_entries[prefix];
    double const kept = decay(sums, now);
    sums.requests = sums.requests * kept + 1.0;
    sums.tokens = sums.tokens * kept + tokens;
    sums.updated_at = std::max(sums.updated_at, now);
}

double prefix_demand::tokens_per_second(std::uint64_t prefix,
                                        model::time_point now) const
{
    auto const found = m_entries.find(prefix);
    if (found == m_entries.end()) {
        return 0.0;
    }
    entry const& sums = found->second;
    double const kept = decay(sums, now);
    double const requests = sums.requests * kept;
    if (requests <= 1.0) {
        return 0.0;
    }
    return sums.tokens * kept * (1.0 - 1.0 / std::sqrt(requests))
           / mean_life_seconds;
}

// Half of the entries at once, so that a table of prefixes that never repeat
// costs little time for each request.
void prefix_demand::evict(model::time_point now)
{
    std::vector<std::pair<double, std::uint64_t>> by_demand;
    by_demand.reserve(m_entries.size());
    for (auto const& [prefix, sums] : m_entries) {
        by_demand.emplace_back(sums.tokens * decay(sums, now), prefix);
    }
    auto const middle = std::next(
        by_demand.begin(), static_cast<std::ptrdiff_t>(by_demand.size() / 2));
    std::nth_element(by_demand.begin(), middle, by_demand.end());
    std::for_each(by_demand.begin(), middle, [this](auto const& item) {
        m_entries.erase(item.second);
    });
}

} // namespace caperjunction::routing
