#include "net/upstream_client.hpp"

#include "net/sockets.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::net {

bool upstream_client::is_overdue(running_call& call) const
{
    auto const now = m_loop.now();
    call.connected = call.connected || is_connected(call.connection);
    if (!call.connected) {
        return now - call.started > m_timeouts.connect;
    }
    if (!call.answered) {
        return now - call.started > m_timeouts.first_byte;
    }
    return !call.paused && now - call.progressed > m_timeouts.progress;
}

void upstream_client::sweep()
{
    std::vector<std::shared_ptr<running_call>> overdue;
    for (auto& [handle, call] : m_calls) {
        if (is_overdue(*call)) {
            overdue.push_back(call);
        }
    }
    for (auto const& call : overdue) {
        bool const reached = call->connected;
        finish(*call, reached ? call_end::broken : call_end::unreachable);
    }
    sweep_idle();
}

void upstream_client::sweep_idle()
{
    auto const now = m_loop.now();
    for (auto& [key, idle] : m_idle) {
        // Sorted by age, oldest first: connections are taken from the end
        // and returned to the end.
        auto const first_recent = std::find_if(
            idle.begin(), idle.end(), [now](idle_connection const& idle_entry) {
                return now - idle_entry.since <= max_idle_time;
            });
        for (auto old = idle.begin(); old != first_recent; ++old) {
            drop(old->connection);
        }
        idle.erase(idle.begin(), first_recent);
    }
}

} // namespace caperjunction::net
