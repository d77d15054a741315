#include "proxy/tunnel_candidates.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>

namespace caperjunction::proxy {
namespace {

/// A host whose tunnel failed is not asked again for this long.
constexpr model::milliseconds tunnel_back_off{1'000};

std::string key_of(model::endpoint const& at)
{
    return fmt::format("{}:{}", at.address, at.port);
}

/// Returns the key of tunnels to one upstream.
std::string key_of(model::endpoint const& at, routing::upstream_state const& to)
{
    return key_of(at) + '/' + to.description.id;
}

routing::location location_of(relay_context const& context,
                              std::uint64_t data_centre)
{
    if (data_centre == context.settings.data_centre) {
        return {routing::distance::same_data_centre, context.settings.region};
    }
    auto const found = context.settings.data_centres.find(data_centre);
    return found == context.settings.data_centres.end()
               ? routing::location{routing::distance::other_region, ""}
               : found->second;
}

bool has_failed(relay_context const& context, std::string const& tunnel)
{
    auto const failed = context.failed_tunnels.find(tunnel);
    return failed != context.failed_tunnels.end()
           && context.loop.now() < failed->second;
}

void avoid(relay_context& context, std::string const& tunnel)
{
    auto const now = context.loop.now();
    std::erase_if(context.failed_tunnels, [now](auto const& item) {
        return item.second <= now;
    });
    context.failed_tunnels[tunnel] = now + tunnel_back_off;
}

} // namespace

std::vector<routing::tunnel_candidate>
tunnel_candidates(relay_context const& context,
                  routing::home_regions const& homes,
                  routing::upstream_state const& to)
{
    auto const key = routing::upstream_load_key(to.description.id);
    std::vector<routing::tunnel_candidate> live;
    std::vector<routing::tunnel_candidate> named;
    for (auto const& peer :
         context.peers.tunnel_peers(context.settings.tunnel_listen.port)) {
        auto const where = location_of(context, peer.data_centre);
        bool const is_usable =
            homes.allows(where.region) && peer.offers(key)
            && (context.failed_tunnels.empty()
                || (!has_failed(context, key_of(peer.at))
                    && !has_failed(context, key_of(peer.at, to))));
        if (is_usable) {
            (peer.digest != nullptr ? live : named)
                .push_back({peer.at, where.network_distance});
        }
    }
    return live.empty() ? named : live;
}

bool contains(std::vector<routing::tunnel_candidate> const& list,
              model::endpoint const& peer)
{
    return std::any_of(list.begin(), list.end(), [&peer](auto const& item) {
        return item.at == peer;
    });
}

bool is_paused_on_way(relay_context const& context,
                      routing::home_regions const& homes,
                      routing::upstream_state const& to)
{
    auto const key = routing::upstream_load_key(to.description.id);
    std::size_t paused = 0;
    std::size_t usable = 0;
    for (auto const& peer :
         context.peers.tunnel_peers(context.settings.tunnel_listen.port)) {
        if (homes.allows(location_of(context, peer.data_centre).region)) {
            ++(peer.is_paused(key) ? paused : usable);
        }
    }
    return paused > 0 && usable == 0;
}

void record_tunnel_failure(relay_context& context, model::endpoint const& peer)
{
    avoid(context, key_of(peer));
}

void record_detour_failure(relay_context& context,
                           routing::upstream_state& state,
                           model::endpoint const& peer)
{
    state.link.record_detour(false);
    avoid(context, key_of(peer, state));
}

} // namespace caperjunction::proxy
