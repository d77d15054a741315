#include "proxy/peer_gossip.hpp"

#include "proxy/leaving_notices.hpp"
#include "proxy/limit_notices.hpp"
#include "proxy/pause_requests.hpp"
#include "proxy/rank_load_updates.hpp"
#include "proxy/team_share_updates.hpp"
#include "proxy/upstream_paths.hpp"

namespace caperjunction::proxy {
std::vector<routing::peer_load> peer_gossip::own_loads() const
{
    std::vector<routing::peer_load> loads;
    auto const now = m_context.loop.now();
    bool const sends_readings = m_context.settings.speed_classes;
    m_context.directory.each([&](routing::upstream_state const& state) {
        routing::upstream_performance const performance =
            state.own_performance.performance(now);
        if (state.own.running > 0 || performance.observers > 0) {
            loads.push_back({routing::upstream_load_key(state.description.id),
                             state.own,
                             performance,
                             sends_readings ? state.own_capacity.readings(now)
                                            : routing::engine_readings{}});
        }
    });
    m_context.directory.each_service([&](std::string const& service) {
        auto const count = m_context.directory.own_urgent_streams(service);
        double const work =
            m_context.settings.reserve_by_work
                ? m_context.urgent_demand.own_tokens_per_second(service, now)
                : 0.0;
        auto const tokens = static_cast<std::uint64_t>(work);
        if (count > 0 || tokens > 0) {
            loads.push_back(
                {routing::urgent_load_key(service), {count, tokens, 0}, {}});
        }
    });
    auto const by_rank = rank_loads_to_advertise(m_context);
    loads.insert(loads.end(), by_rank.begin(), by_rank.end());
    return loads;
}

digest_frame peer_gossip::own_frame()
{
    digest_frame frame;
    routing::peer_digest& digest = frame.digest;
    digest.generation = m_generation;
    digest.sequence = ++m_sequence;
    digest.revisions = m_context.known;
    digest.data_centre = m_context.settings.data_centre;
    digest.loads = own_loads();
    if (m_context.settings.team_shares) {
        digest.demands = demands_to_advertise(m_context);
    }
    bool const offers_tunnels =
        reaches_upstreams(m_context) && !m_context.is_stopping;
    digest.tunnel_port =
        offers_tunnels ? m_context.settings.tunnel_listen.port : 0;
    digest.lost_links = lost_links_to_advertise(m_context);
    digest.limits = limits_to_advertise(m_context);
    digest.leaving = leaving_to_advertise(m_context);
    digest.pauses = pauses_to_advertise(m_context);
    auto const now = m_context.lease_now();
    frame.stamp = now + m_stamp_offset;
    if (auto const as_of = m_context.keys.as_of()) {
        frame.confirmed_age =
            std::chrono::duration_cast<std::chrono::microseconds>(now - *as_of);
    }
    return frame;
}

} // namespace caperjunction::proxy
