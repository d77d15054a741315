#include "fleet/membership.hpp"

#include <algorithm>
#include <iterator>

namespace caperjunction::fleet {
namespace {

// Tables differ briefly while an update propagates; that needs no sync.
constexpr std::uint32_t mismatches_before_sync = 3;
constexpr model::milliseconds min_sync_period{10'000};
// A table of 400 hosts has about 20 KB. Sent to each of six neighbours once per
// 100 s it takes a quarter of the 5 KB/s, even if lists differ for long.
constexpr model::milliseconds sync_period_per_host{250};
constexpr model::milliseconds lost_probe_period{1'000};

} // namespace

// After a pause all neighbours seem silent although this host was. Reporting
// them would broadcast false suspicions about the whole fleet, and acting by
// the old view is worse. All timers are therefore reset, and neighbours are
// probed with a new number, whose reply can't have been in a socket since
// before the pause.
void membership::begin_refresh()
{
    if (!m_settings.refresh_after_pause) {
        m_pause_detector.mark_refreshed();
        return;
    }
    for (auto& [name, peer] : m_peers) {
        peer.expected_since = m_now;
        peer.verified = false;
        if (peer.state == host_state::suspect) {
            peer.suspected_since = m_now;
        }
    }
    ++m_probe_number;
    m_replies.clear();
    m_probes_sent = m_neighbours.size();
    m_refresh_deadline =
        m_now + m_settings.silence_limit + m_settings.suspicion_timeout;
    m_out->push_back(view_outdated{});
    for (std::string const& name : m_neighbours) {
        send(name, probe{m_probe_number});
    }
    check_refreshed();
}

// Replies from half of the neighbours suffice, because some may have stopped
// meanwhile. If none answers, this host is cut off; once the silent neighbours
// are lost in its own view, that view can't become better. The view is not
// refreshed while a suspicion may still be refuted.
void membership::check_refreshed()
{
    if (m_pause_detector.is_current()) {
        return;
    }
    bool const undecided =
        std::any_of(m_peers.begin(), m_peers.end(), [](auto const& entry) {
            return entry.second.state == host_state::suspect;
        });
    bool const answered = m_replies.size() * 2 >= m_probes_sent;
    if ((answered && !undecided && !m_behind_peers)
        || m_now >= m_refresh_deadline) {
        m_pause_detector.mark_refreshed();
        m_out->push_back(view_refreshed{});
    }
}

void membership::send_heartbeats()
{
    for (auto const& [name, peer] : m_peers) {
        bool const reply_requested =
            m_now - peer.last_reply_request < m_settings.silence_limit;
        if (peer.neighbour || reply_requested) {
            send(name, make_heartbeat(peer.neighbour));
        }
    }
}

// Returns whether the next heartbeat of the peer is not overdue yet. Older
// contact would refute a true report.
bool membership::has_recent_contact(membership_peer const& peer) const
{
    return peer.verified
           && m_now - peer.last_seen < 2 * m_settings.heartbeat_period;
}

bool membership::is_silent(membership_peer const& peer) const
{
    auto const since = std::max(peer.last_seen, peer.expected_since);
    return m_now - since >= m_settings.silence_limit;
}

void membership::check_silence()
{
    for (std::string const& name : m_neighbours) {
        membership_peer& peer = m_peers.at(name);
        bool const is_reachable = !is_silent(peer);
        if (is_reachable != peer.reachable) {
            peer.reachable = is_reachable;
            m_publish_now = true;
        }
        if (!is_reachable && is_view_current()) {
            report_suspect(peer);
        }
    }
}

void membership::report_suspect(membership_peer& peer)
{
    membership_update update = m_updates.find(peer.host.name);
    bool const recently_reported =
        peer.last_reported != model::time_point{}
        && m_now - peer.last_reported < m_settings.min_report_interval;
    if (update.kind != update_kind::alive || recently_reported) {
        return;
    }
    peer.last_reported = m_now;
    ++update.suspicion_count;
    update.kind = update_kind::suspect;
    merge_update(update);
}

// Both sides of a network partition consider the other's hosts lost and have no
// links to them. Sending a heartbeat to one lost host after the other merges
// the sides when the network is restored.
void membership::probe_one_lost()
{
    if (m_now < m_next_lost_probe || m_peers.empty()) {
        return;
    }
    m_next_lost_probe = m_now + lost_probe_period;
    auto position = m_peers.upper_bound(m_last_probed_lost_host);
    for (std::size_t checked = 0; checked < m_peers.size(); ++checked) {
        if (position == m_peers.end()) {
            position = m_peers.begin();
        }
        if (position->second.state == host_state::lost) {
            m_last_probed_lost_host = position->first;
            send(position->first, make_heartbeat(true));
            return;
        }
        ++position;
    }
}

void membership::expire_suspects()
{
    for (auto const& [name, peer] : m_peers) {
        if (peer.state == host_state::suspect
            && state_of(peer) != host_state::suspect) {
            m_changed_hosts.insert(name);
        }
    }
}

// A full queue or a broken link loses updates. Tables that stay different
// reveal it, and sending the complete table repairs it.
void membership::compare_tables(membership_peer& peer, heartbeat const& message)
{
    if (message.updates_hash == m_updates.hash()) {
        peer.mismatches = 0;
        return;
    }
    ++peer.mismatches;
    auto const sync_period = std::max<model::milliseconds>(
        min_sync_period, sync_period_per_host * m_peers.size());
    bool const recently_synced = peer.last_synced != model::time_point{}
                                 && m_now - peer.last_synced < sync_period;
    if (peer.mismatches < mismatches_before_sync || recently_synced) {
        return;
    }
    peer.mismatches = 0;
    peer.last_synced = m_now;
    send(peer.host.name, membership_updates{m_updates.all()});
}

} // namespace caperjunction::fleet
