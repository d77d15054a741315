#include "routing/tunnel_choice.hpp"

#include <algorithm>

namespace caperjunction::routing {

std::optional<model::endpoint>
choose_tunnel(std::vector<tunnel_candidate> const& candidates,
              std::uint64_t random_value)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    auto const nearest =
        std::min_element(candidates.begin(),
                         candidates.end(),
                         [](auto const& a, auto const& b) {
                             return a.network_distance < b.network_distance;
                         })
            ->network_distance;
    std::vector<model::endpoint> near;
    for (tunnel_candidate const& item : candidates) {
        if (item.network_distance == nearest) {
            near.push_back(item.at);
        }
    }
    return near[random_value % near.size()];
}

} // namespace caperjunction::routing
