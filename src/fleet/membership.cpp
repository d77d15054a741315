#include "fleet/membership.hpp"

#include <utility>
#include <variant>

namespace caperjunction::fleet {
namespace {

constexpr model::milliseconds start_phase{30'000};

} // namespace

membership::membership(membership_settings settings)
    : m_settings(std::move(settings))
    , m_updates(m_settings.check_generation)
    , m_pause_detector(m_settings.pause_limit)
    , m_view(std::make_shared<host_view>())
{
    m_updates.merge({m_settings.self.name, m_settings.generation});
}

void membership::handle(agent_event const& event,
                        model::time_point now,
                        outputs& out)
{
    m_now = now;
    m_out = &out;
    if (m_started == model::time_point{}) {
        m_started = now;
    }
    if (m_pause_detector.record_wakeup(now)) {
        begin_refresh();
    }
    std::visit(
        [this](auto const& alternative) {
            on_event(alternative);
        },
        event);
    broadcast_updates();
    update_view(std::holds_alternative<agent_tick>(event));
    m_out = nullptr;
}

void membership::on_event(hosts_listed const& event)
{
    if (event.hosts.revision < m_list_revision) {
        return;
    }
    m_list_revision = event.hosts.revision;
    std::map<std::string, membership_peer> listed;
    for (model::host const& host : event.hosts.members) {
        if (host.name == m_settings.self.name) {
            // The platform may announce the stop before this process does.
            m_leaving = m_leaving || host.leaving;
            continue;
        }
        auto const known = m_peers.find(host.name);
        membership_peer& peer = listed[host.name];
        if (known != m_peers.end()) {
            peer = known->second;
        } else {
            peer.expected_since = m_now;
        }
        peer.host = host;
    }
    report_unlisted(listed);
    m_peers = std::move(listed);
    m_updates.retain_only([this](std::string const& name) {
        return name == m_settings.self.name || m_peers.count(name) != 0;
    });
    for (auto const& [name, peer] : m_peers) {
        m_changed_hosts.insert(name);
    }
    m_publish_now = true;
}

void membership::report_unlisted(
    std::map<std::string, membership_peer> const& listed)
{
    for (auto const& [name, peer] : m_peers) {
        if (listed.count(name) == 0 && peer.state != host_state::lost) {
            m_out->push_back(host_changed{
                name, host_change::lost, "no longer in the platform's list"});
        }
    }
}

void membership::on_event(message_received const& event)
{
    if (find(event.from) == nullptr) {
        return;
    }
    if (auto const* beat = std::get_if<heartbeat>(&event.message)) {
        handle_heartbeat(event.from, *beat);
    } else if (auto const* gossip =
                   std::get_if<membership_updates>(&event.message)) {
        for (membership_update const& update : gossip->updates) {
            handle_update(update);
        }
    } else if (auto const* request = std::get_if<probe>(&event.message)) {
        send(event.from,
             probe_reply{request->number,
                         m_settings.generation,
                         m_leaving,
                         m_configuration,
                         m_updates.all()});
    } else if (auto const* reply = std::get_if<probe_reply>(&event.message)) {
        handle_probe_reply(event.from, *reply);
    }
}

void membership::on_event(link_up const& event)
{
    // Updates broadcast while the link was down have not reached the peer.
    membership_updates missed;
    for (membership_update const& update : m_updates.all()) {
        if (update.kind != update_kind::alive) {
            missed.updates.push_back(update);
        }
    }
    if (!missed.updates.empty()) {
        send(event.host, std::move(missed));
    }
}

void membership::on_event(stop_planned const&)
{
    m_leaving = true;
    m_publish_now = true;
    membership_update own = m_updates.find(m_settings.self.name);
    own.kind = update_kind::leaving;
    merge_update(own);
    // Immediately: until peers know, they hand requests over to this host.
    send_heartbeats();
}

void membership::on_event(agent_tick const&)
{
    if (m_now >= m_next_heartbeat) {
        send_heartbeats();
        m_next_heartbeat = m_now + m_settings.heartbeat_period;
    }
    check_silence();
    expire_suspects();
    probe_one_lost();
    check_refreshed();
}

void membership::handle_heartbeat(std::string const& from,
                                  heartbeat const& message)
{
    membership_peer& peer = *find(from);
    if (message.expects_reply) {
        peer.last_reply_request = m_now;
    }
    record_contact(from, message.generation, message.leaving);
    if (!peer.verified) {
        send(from, probe{m_probe_number});
    }
    compare_tables(peer, message);
}

void membership::handle_probe_reply(std::string const& from,
                                    probe_reply const& message)
{
    bool const current = message.number == m_probe_number;
    membership_peer& peer = *find(from);
    peer.verified = peer.verified || current;
    record_contact(from, message.generation, message.leaving);
    for (membership_update const& update : message.updates) {
        handle_update(update);
    }
    if (current) {
        m_replies.insert(from);
        check_refreshed();
    }
}

void membership::record_contact(std::string const& from,
                                std::uint64_t generation,
                                bool leaving)
{
    membership_update known = m_updates.find(from);
    // A socket or a paused peer may still deliver messages of a past process;
    // its late "leaving" would keep all work away from a host just started.
    if (m_settings.check_generation && generation < known.generation) {
        return;
    }
    if (m_settings.check_generation && generation > known.generation) {
        known = {from, generation};
        merge_update(known);
    } else if (!m_settings.check_generation) {
        known.generation = generation;
    }
    if (leaving) {
        known.kind = update_kind::leaving;
        merge_update(known);
    }
    membership_peer& peer = *find(from);
    if (!peer.verified) {
        return;
    }
    peer.last_seen = m_now;
    if (!leaving) {
        refute_on_contact(peer, known);
    }
}

void membership::refute_on_contact(membership_peer const& peer,
                                   membership_update known)
{
    if (known.kind == update_kind::suspect
        && (m_settings.refute || peer.last_reported != model::time_point{})) {
        refute(known);
    } else if (known.kind == update_kind::leaving
               && !m_settings.check_generation && !peer.host.leaving) {
        // Without generations only the host's own message can end the state.
        ++known.suspicion_count;
        refute(known);
    }
}

void membership::handle_update(membership_update const& update)
{
    if (update.host == m_settings.self.name) {
        handle_update_about_self(update);
        return;
    }
    membership_peer* const peer = find(update.host);
    if (peer == nullptr || !merge_update(update)) {
        return;
    }
    bool const refutable = m_settings.refute && peer->neighbour;
    if (update.kind == update_kind::suspect && refutable
        && has_recent_contact(*peer)) {
        refute(update);
    }
}

void membership::handle_update_about_self(membership_update const& update)
{
    if (m_settings.check_generation
        && update.generation != m_settings.generation) {
        supersede_predecessor(update);
        return;
    }
    if (!merge_update(update)) {
        return;
    }
    if (update.kind == update_kind::suspect && m_settings.refute) {
        refute(update);
    }
}

// A host whose wall clock was set back starts with a lower generation than its
// predecessor, and all peers ignore it. An update about the predecessor reveals
// this, and the host takes a number above. A process older than the start phase
// must not: it has been replaced and resumed late.
void membership::supersede_predecessor(membership_update const& update)
{
    if (update.generation < m_settings.generation
        || m_now - m_started > start_phase) {
        return;
    }
    m_settings.generation = update.generation + 1;
    merge_update({m_settings.self.name, m_settings.generation});
}

void membership::refute(membership_update update)
{
    update.kind = update_kind::alive;
    merge_update(update);
}

bool membership::merge_update(membership_update const& update)
{
    membership_update const before = m_updates.find(update.host);
    if (!m_updates.merge(update)) {
        return false;
    }
    m_pending_updates.push_back(update);
    m_changed_hosts.insert(update.host);
    membership_peer* const peer = find(update.host);
    if (peer == nullptr) {
        return true;
    }
    if (update.kind == update_kind::suspect) {
        peer->suspected_since = m_now;
    }
    if (m_settings.check_generation && before.generation != 0
        && update.generation > before.generation) {
        peer->expected_since = m_now;
        m_out->push_back(host_changed{update.host,
                                      host_change::restarted,
                                      "a newer generation is running"});
    }
    return true;
}

} // namespace caperjunction::fleet
