#include "routing/peer_table.hpp"

namespace caperjunction::routing {

std::vector<peer_table::tunnel_peer>
peer_table::tunnel_peers(std::uint16_t assumed_port) const
{
    std::vector<tunnel_peer> live;
    std::vector<tunnel_peer> named;
    for (auto const& [address, known] : m_peers) {
        if (known.is_live && known.digest.tunnel_port != 0) {
            live.push_back({{address.address, known.digest.tunnel_port},
                            known.digest.data_centre});
        } else if (!known.is_live && known.has_known_data_centre
                   && !is_in_data_centre(known)) {
            named.push_back(
                {{address.address, assumed_port}, known.digest.data_centre});
        }
    }
    return live.empty() && has_been_large() ? named : live;
}

} // namespace caperjunction::routing
