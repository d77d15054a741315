#include "fleet/membership.hpp"

#include "fleet/neighbours.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::fleet {

heartbeat membership::make_heartbeat(bool expects_reply) const
{
    heartbeat message;
    message.generation = m_settings.generation;
    message.leaving = m_leaving;
    message.expects_reply = expects_reply;
    message.updates_hash = m_updates.hash();
    message.configuration = m_configuration;
    return message;
}

void membership::send(std::string const& to, peer_message message)
{
    m_out->push_back(send_message{to, std::move(message)});
}

membership_peer* membership::find(std::string const& name)
{
    auto const position = m_peers.find(name);
    return position == m_peers.end() ? nullptr : &position->second;
}

void membership::broadcast_updates()
{
    if (m_pending_updates.empty()) {
        return;
    }
    // Skip updates that have been superseded within the same call.
    std::erase_if(m_pending_updates, [this](membership_update const& update) {
        return m_updates.find(update.host) != update;
    });
    for (std::string const& name : m_neighbours) {
        // Refutations have to reach the sender too, which ignores known ones.
        send(name, membership_updates{m_pending_updates});
    }
    m_pending_updates.clear();
}

host_state membership::state_of(membership_peer const& peer) const
{
    membership_update const update = m_updates.find(peer.host.name);
    if (peer.host.leaving || update.kind == update_kind::leaving) {
        return host_state::leaving;
    }
    if (update.kind == update_kind::alive) {
        return host_state::alive;
    }
    bool const expired =
        m_now - peer.suspected_since >= m_settings.suspicion_timeout;
    return expired ? host_state::lost : host_state::suspect;
}

// A changed state is published immediately. A new generation alone waits for
// the next tick: when 400 hosts start together, one view for each of them would
// keep every host busy for seconds.
void membership::update_view(bool is_tick)
{
    m_view_outdated = m_view_outdated || !m_changed_hosts.empty();
    for (std::string const& name : m_changed_hosts) {
        membership_peer* const peer = find(name);
        if (peer == nullptr) {
            continue;
        }
        host_state const before = peer->state;
        peer->state = state_of(*peer);
        m_publish_now = m_publish_now || peer->state != before;
        report_change(*peer, before);
    }
    m_changed_hosts.clear();
    if (m_publish_now || (m_view_outdated && is_tick)) {
        m_publish_now = false;
        m_view_outdated = false;
        update_neighbours();
        publish();
    }
}

void membership::report_change(membership_peer const& peer, host_state before)
{
    if (peer.state == before) {
        return;
    }
    std::string const& name = peer.host.name;
    if (peer.state == host_state::lost) {
        m_out->push_back(host_changed{
            name, host_change::lost, "reported silent and not refuted"});
    } else if (peer.state == host_state::leaving) {
        m_out->push_back(host_changed{
            name, host_change::leaving, "it stops soon and accepts no work"});
    } else if (before == host_state::lost) {
        m_out->push_back(
            host_changed{name, host_change::returned, "a peer reached it"});
    }
}

// Lost and leaving hosts are excluded from the rings: the failure of a rack
// would otherwise leave gaps that no update crosses.
void membership::update_neighbours()
{
    std::vector<ring_host> members;
    members.push_back({m_settings.self.name, m_settings.self.region});
    for (auto const& [name, peer] : m_peers) {
        bool const gets_work = peer.state == host_state::alive
                               || peer.state == host_state::suspect;
        if (gets_work) {
            members.push_back({name, peer.host.region});
        }
    }
    m_neighbours =
        neighbours_of(members.front(), members, m_settings.full_mesh_hosts);
    for (auto& [name, peer] : m_peers) {
        bool const is_neighbour =
            std::binary_search(m_neighbours.begin(), m_neighbours.end(), name);
        if (is_neighbour && !peer.neighbour) {
            peer.expected_since = m_now;
        }
        peer.neighbour = is_neighbour;
        peer.reachable = peer.reachable || !is_neighbour;
    }
}

void membership::publish()
{
    auto view = std::make_shared<host_view>();
    view->revision = m_view->revision + 1;
    view->list_revision = m_list_revision;
    viewed_host self;
    self.host = m_settings.self;
    self.host.leaving = m_leaving;
    self.state = m_leaving ? host_state::leaving : host_state::alive;
    self.generation = m_settings.generation;
    view->hosts.push_back(std::move(self));
    for (auto const& [name, peer] : m_peers) {
        auto const generation = m_updates.find(name).generation;
        view->hosts.push_back(
            {peer.host, peer.state, generation, peer.reachable});
    }
    auto const by_name = [](viewed_host const& left, viewed_host const& right) {
        return left.host.name < right.host.name;
    };
    std::sort(view->hosts.begin(), view->hosts.end(), by_name);
    m_view = std::move(view);
    m_out->push_back(view_changed{m_view});
}

} // namespace caperjunction::fleet
