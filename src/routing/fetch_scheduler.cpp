#include "routing/fetch_scheduler.hpp"

#include <algorithm>

namespace caperjunction::routing {
namespace {

/// Delay before a store watcher fetches a change from a peer. Its own watch
/// delivers a change within milliseconds; a change that a peer has had for this
/// long will not arrive that way.
constexpr model::milliseconds store_watcher_delay{500};
/// Delay before a fetch from another data centre. The aggregator fetches the
/// change, and the other hosts fetch it from the aggregator. If it does not,
/// they fetch it from the other data centre themselves.
constexpr model::milliseconds remote_fetch_delay{500};
/// Delay before the first fetch of a starting host. Such a host reads the store
/// itself, in tens of milliseconds if the store is near. Peers are asked after
/// this delay if the store is unavailable.
constexpr model::milliseconds first_fetch_delay{200};
/// Rate at which the hosts of a data centre together send lists to each other:
/// eight links of 10 Mbit/s, the narrowest in use.
constexpr double shared_bytes_per_second = 8e6;
/// Maximum delay of a change, whatever the size of earlier lists.
constexpr model::milliseconds max_back_off{800};

} // namespace

bool fetch_scheduler::is_due(peer_table::source const& newer,
                             host_state const& host,
                             model::time_point now)
{
    if (newer.at == nullptr) {
        m_source_seen_at.reset();
        return false;
    }
    if (!m_source_seen_at) {
        m_source_seen_at = now;
    }
    if (now < m_backed_off_until
        || now - *m_source_seen_at < fetch_delay(newer, host)) {
        return false;
    }
    m_source_seen_at = now;
    return true;
}

model::milliseconds
fetch_scheduler::fetch_delay(peer_table::source const& newer,
                             host_state const& host)
{
    if (!host.has_configuration) {
        return first_fetch_delay;
    }
    if (host.is_store_watcher) {
        return store_watcher_delay;
    }
    return newer.is_near || host.is_aggregator ? model::milliseconds{0}
                                               : remote_fetch_delay;
}

void fetch_scheduler::back_off(std::size_t bytes,
                               std::size_t nearby_hosts,
                               model::time_point now)
{
    double const copies =
        static_cast<double>(bytes) * static_cast<double>(nearby_hosts);
    auto const delay = std::chrono::duration_cast<model::milliseconds>(
        model::seconds(copies / shared_bytes_per_second));
    m_backed_off_until = now + std::min(delay, max_back_off);
}

model::milliseconds fetch_scheduler::lag(store_position own,
                                         store_position newest,
                                         model::time_point now)
{
    if (own >= m_missing) {
        m_missing = newest;
        m_missing_since = now;
    }
    return own >= m_missing ? model::milliseconds{0}
                            : std::chrono::duration_cast<model::milliseconds>(
                                now - m_missing_since);
}

} // namespace caperjunction::routing
