#ifndef CAPERJUNCTION_ROUTING_TUNNEL_CHOICE_HPP
#define CAPERJUNCTION_ROUTING_TUNNEL_CHOICE_HPP

#include "model/endpoint.hpp"
#include "routing/distance.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace caperjunction::routing {

/// A host that may connect this one to an upstream.
struct tunnel_candidate
{
    model::endpoint at;
    distance network_distance = distance::other_region;
};

/// Returns one of the nearest candidates, selected by `random_value` so that
/// hosts and requests spread over them; nothing if there is none.
std::optional<model::endpoint>
choose_tunnel(std::vector<tunnel_candidate> const& candidates,
              std::uint64_t random_value);

} // namespace caperjunction::routing

#endif
