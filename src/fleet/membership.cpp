#include "fleet/membership.hpp"

#include <utility>
#include <variant>

namespace caperjunction::fleet {
namespace {

constexpr model::milliseconds start_phase{30'000};

} // namespace

membership::membership(membership_settings settings)
    : m_settings(std::move(settings))
    , m_rumours(m_settings.check_generation)
    , m_guard(m_settings.pause_limit)
    , m_view(std::make_shared<host_view>())
{
    m_rumours.raise({m_settings.self.name, m_settings.generation});
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
    if (m_guard.note_wake(now)) {
        wake();
    }
    std::visit(
        [this](auto const& told) {
            take(told);
        },
        event);
    spread_news();
    update_view(std::holds_alternative<agent_tick>(event));
    m_out = nullptr;
}

void membership::take(hosts_listed const& event)
{
    if (event.hosts.revision < m_list_revision) {
        return;
    }
    m_list_revision = event.hosts.revision;
    std::map<std::string, membership_peer> listed;
    for (model::host const& host : event.hosts.members) {
        if (host.name == m_settings.self.name) {
            // The platform may know of the stop before this process does.
            m_leaving = m_leaving || host.leaving;
            continue;
        }
        auto const known = m_peers.find(host.name);
        membership_peer& peer = listed[host.name];
        if (known != m_peers.end()) {
            peer = known->second;
        } else {
            peer.awaited = m_now;
        }
        peer.host = host;
    }
    tell_unlisted(listed);
    m_peers = std::move(listed);
    m_rumours.keep_only([this](std::string const& name) {
        return name == m_settings.self.name || m_peers.count(name) != 0;
    });
    for (auto const& [name, peer] : m_peers) {
        m_touched.insert(name);
    }
    m_urgent = true;
}

void membership::tell_unlisted(
    std::map<std::string, membership_peer> const& listed)
{
    for (auto const& [name, peer] : m_peers) {
        if (listed.count(name) == 0 && peer.state != host_state::lost) {
            m_out->push_back(host_changed{
                name, host_change::lost, "the platform lists it no more"});
        }
    }
}

void membership::take(message_received const& event)
{
    if (find(event.from) == nullptr) {
        return;
    }
    if (auto const* beat = std::get_if<heartbeat>(&event.message)) {
        take_heartbeat(event.from, *beat);
    } else if (auto const* news = std::get_if<host_rumours>(&event.message)) {
        for (host_rumour const& rumour : news->rumours) {
            take_rumour(rumour);
        }
    } else if (auto const* asked = std::get_if<probe>(&event.message)) {
        send(event.from,
             probe_reply{asked->number,
                         m_settings.generation,
                         m_leaving,
                         m_configuration,
                         m_rumours.all()});
    } else if (auto const* reply = std::get_if<probe_reply>(&event.message)) {
        take_probe_reply(event.from, *reply);
    }
}

void membership::take(link_up const& event)
{
    // What was spread while the link was down would never reach the peer.
    host_rumours missed;
    for (host_rumour const& rumour : m_rumours.all()) {
        if (rumour.kind != rumour_kind::heard) {
            missed.rumours.push_back(rumour);
        }
    }
    if (!missed.rumours.empty()) {
        send(event.host, std::move(missed));
    }
}

void membership::take(stop_planned const&)
{
    m_leaving = true;
    m_urgent = true;
    host_rumour own = m_rumours.find(m_settings.self.name);
    own.kind = rumour_kind::leaving;
    raise(own);
    // At once rather than with the next heartbeat: until it is heard, peers
    // still hand requests over to this host.
    send_heartbeats();
}

void membership::take(agent_tick const&)
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

void membership::take_heartbeat(std::string const& from,
                                heartbeat const& message)
{
    membership_peer& peer = *find(from);
    if (message.expects_reply) {
        peer.asked = m_now;
    }
    hear(from, message.generation, message.leaving);
    if (!peer.proven) {
        send(from, probe{m_probe_number});
    }
    compare_tables(peer, message);
}

void membership::take_probe_reply(std::string const& from,
                                  probe_reply const& message)
{
    bool const current = message.number == m_probe_number;
    membership_peer& peer = *find(from);
    peer.proven = peer.proven || current;
    hear(from, message.generation, message.leaving);
    for (host_rumour const& rumour : message.rumours) {
        take_rumour(rumour);
    }
    if (current) {
        m_replies.insert(from);
        check_refreshed();
    }
}

void membership::hear(std::string const& from,
                      std::uint64_t generation,
                      bool leaving)
{
    host_rumour known = m_rumours.find(from);
    // Bytes of a process that is gone may still come out of a socket, or of
    // a peer that slept. Taken for its successor's, a late "leaving" would
    // keep all work away from a host that has just started.
    if (m_settings.check_generation && generation < known.generation) {
        return;
    }
    if (m_settings.check_generation && generation > known.generation) {
        known = {from, generation};
        raise(known);
    } else if (!m_settings.check_generation) {
        known.generation = generation;
    }
    if (leaving) {
        known.kind = rumour_kind::leaving;
        raise(known);
    }
    membership_peer& peer = *find(from);
    if (!peer.proven) {
        return;
    }
    peer.heard = m_now;
    if (!leaving) {
        refute_by_life(peer, known);
    }
}

void membership::refute_by_life(membership_peer const& peer, host_rumour known)
{
    if (known.kind == rumour_kind::silent
        && (m_settings.refute || peer.reported != model::time_point{})) {
        refute(known);
    } else if (known.kind == rumour_kind::leaving
               && !m_settings.check_generation && !peer.host.leaving) {
        // Without generations its own word is all that can end the state.
        ++known.round;
        refute(known);
    }
}

void membership::take_rumour(host_rumour const& rumour)
{
    if (rumour.host == m_settings.self.name) {
        take_rumour_about_self(rumour);
        return;
    }
    membership_peer* const peer = find(rumour.host);
    if (peer == nullptr || !raise(rumour)) {
        return;
    }
    bool const refutable = m_settings.refute && peer->neighbour;
    if (rumour.kind == rumour_kind::silent && refutable && hears(*peer)) {
        refute(rumour);
    }
}

void membership::take_rumour_about_self(host_rumour const& rumour)
{
    if (m_settings.check_generation
        && rumour.generation != m_settings.generation) {
        outgrow(rumour);
        return;
    }
    if (!raise(rumour)) {
        return;
    }
    if (rumour.kind == rumour_kind::silent && m_settings.refute) {
        refute(rumour);
    }
}

// A host whose wall clock was set back starts with a lower generation than
// its predecessor's, and everyone would ignore it for ever. It notices that
// as news of a later process of its own name, and takes a number above. A
// process that has lived for a while must not: it has been replaced, and is
// the one that woke up late.
void membership::outgrow(host_rumour const& rumour)
{
    if (rumour.generation < m_settings.generation
        || m_now - m_started > start_phase) {
        return;
    }
    m_settings.generation = rumour.generation + 1;
    raise({m_settings.self.name, m_settings.generation});
}

void membership::refute(host_rumour rumour)
{
    rumour.kind = rumour_kind::heard;
    raise(rumour);
}

bool membership::raise(host_rumour const& rumour)
{
    host_rumour const before = m_rumours.find(rumour.host);
    if (!m_rumours.raise(rumour)) {
        return false;
    }
    m_news.push_back(rumour);
    m_touched.insert(rumour.host);
    membership_peer* const peer = find(rumour.host);
    if (peer == nullptr) {
        return true;
    }
    if (rumour.kind == rumour_kind::silent) {
        peer->silent_since = m_now;
    }
    if (m_settings.check_generation && before.generation != 0
        && rumour.generation > before.generation) {
        peer->awaited = m_now;
        m_out->push_back(host_changed{rumour.host,
                                      host_change::restarted,
                                      "a later generation is heard"});
    }
    return true;
}

} // namespace caperjunction::fleet
