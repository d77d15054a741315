#ifndef CAPERJUNCTION_ROUTING_RECENT_SLOWDOWN_HPP
#define CAPERJUNCTION_ROUTING_RECENT_SLOWDOWN_HPP

#include "model/time.hpp"
#include "routing/upstream_state.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace caperjunction::routing {

/// Returns the median ratio of wait to forecast at the upstreams other than
/// `except`, from this host's requests that have begun since `since` or are
/// overdue now; 1 if there are none.
///
/// Forecasts contain the means of some seconds and many hosts, which change
/// late when all upstreams become slow together.
inline double recent_slowdown(std::vector<upstream_ptr> const& all,
                              upstream_state const& except,
                              model::time_point since,
                              model::time_point now)
{
    std::vector<double> ratios;
    for (upstream_ptr const& item : all) {
        auto const ratio = item->own_performance.recent_ratio(since, now);
        if (item.get() != &except && ratio) {
            ratios.push_back(*ratio);
        }
    }
    if (ratios.empty()) {
        return 1.0;
    }
    auto const middle =
        ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

} // namespace caperjunction::routing

#endif
