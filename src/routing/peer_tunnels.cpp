#include "routing/peer_table.hpp"

#include <algorithm>

namespace caperjunction::routing {

// A pause in the last digest may be over by now; the next digest says so.
bool tunnel_peer::is_paused(std::uint32_t upstream) const
{
    return digest != nullptr
           && std::any_of(digest->pauses.begin(),
                          digest->pauses.end(),
                          [upstream](advertised_pause const& item) {
                              return item.upstream == upstream && !item.through;
                          });
}

bool tunnel_peer::offers(std::uint32_t upstream) const
{
    if (digest == nullptr) {
        return true;
    }
    auto const& lost = digest->lost_links;
    bool const is_lost =
        std::find(lost.begin(), lost.end(), upstream) != lost.end();
    return !is_lost && !is_paused(upstream);
}

std::vector<tunnel_peer>
peer_table::tunnel_peers(std::uint16_t assumed_port) const
{
    std::vector<tunnel_peer> list;
    for (auto const& [address, known] : m_peers) {
        if (known.is_live && known.digest.tunnel_port != 0) {
            list.push_back({{address.address, known.digest.tunnel_port},
                            known.digest.data_centre,
                            &known.digest});
        } else if (!known.is_live && known.has_known_data_centre
                   && !is_in_data_centre(known) && has_been_large()) {
            list.push_back({{address.address, assumed_port},
                            known.digest.data_centre,
                            nullptr});
        }
    }
    return list;
}

std::vector<origin_peer> peer_table::origin_peers() const
{
    std::vector<origin_peer> list;
    for (auto const& [address, known] : m_peers) {
        bool const is_remote_gateway =
            known.digest.is_gateway && known.has_known_data_centre
            && !is_in_data_centre(known) && has_been_large();
        if (is_near(known) || is_remote_gateway) {
            list.push_back({address, is_in_data_centre(known)});
        }
    }
    return list;
}

std::unordered_map<std::uint32_t, model::time_point>
peer_table::pauses_through(model::endpoint const& own) const
{
    std::unordered_map<std::uint32_t, model::time_point> pauses;
    for (auto const& [address, known] : m_peers) {
        for (advertised_pause const& item : known.digest.pauses) {
            if (item.through == own) {
                model::time_point& until = pauses[item.upstream];
                until = std::max(until, known.received_at + item.left);
            }
        }
    }
    return pauses;
}

} // namespace caperjunction::routing
