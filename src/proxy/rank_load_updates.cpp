#include "proxy/rank_load_updates.hpp"

namespace caperjunction::proxy {

std::vector<routing::peer_load>
rank_loads_to_advertise(relay_context const& context)
{
    std::vector<routing::peer_load> all;
    if (!context.settings.forecast_by_urgency) {
        return all;
    }
    context.directory.each_service([&](std::string const& service) {
        auto const entries = routing::rank_load_entries(
            service, context.directory.of_service(service), context.loop.now());
        all.insert(all.end(), entries.begin(), entries.end());
    });
    return all;
}

void update_rank_loads(relay_context& context)
{
    context.rank_loads.clear();
    if (!context.settings.forecast_by_urgency) {
        return;
    }
    auto const own = rank_loads_to_advertise(context);
    context.directory.each_service([&](std::string const& service) {
        context.rank_loads[service] =
            routing::rank_loads_of(service, own, [&](std::uint32_t key) {
                return context.peers.load_of(key);
            });
    });
}

} // namespace caperjunction::proxy
