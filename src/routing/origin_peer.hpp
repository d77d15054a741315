#ifndef CAPERJUNCTION_ROUTING_ORIGIN_PEER_HPP
#define CAPERJUNCTION_ROUTING_ORIGIN_PEER_HPP

#include "model/endpoint.hpp"

#include <cstdint>
#include <vector>

namespace caperjunction::routing {

/// A host that can be told, or asked, which software began a stream.
struct origin_peer
{
    model::endpoint at;
    bool is_in_data_centre = false;
};

/// Returns the hosts that are told of streams: two of this host's data centre
/// and one of another, so that neither a few hosts nor a whole data centre take
/// all knowledge with them. Others fill up what is missing. `random_value`
/// selects among them.
///
/// Thread safety: any thread.
std::vector<origin_peer> choose_origin_holders(std::vector<origin_peer> peers,
                                               std::uint64_t random_value);

} // namespace caperjunction::routing

#endif
