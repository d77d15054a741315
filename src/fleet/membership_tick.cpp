#include "fleet/membership.hpp"

#include <algorithm>
#include <iterator>

namespace caperjunction::fleet {
namespace {

// Transient differences while a rumour travels don't count.
constexpr std::uint32_t mismatches_before_sync = 3;
constexpr model::milliseconds shortest_sync_period{10'000};
// A table of 400 hosts has about 20 KB; at one in 100 s to each of six
// neighbours it takes a quarter of the 5 KB/s even if lists differ for long.
constexpr model::milliseconds sync_period_per_host{250};
constexpr model::milliseconds lost_probe_period{1'000};

} // namespace

// After a pause everyone seems silent, though it was this host that was.
// Reporting that would spread false news about the whole fleet; acting by
// the old view is worse. So all clocks start anew, and neighbours are asked
// for a sign that can't have lain in a socket since before the pause.
void membership::begin_refresh()
{
    if (!m_settings.refresh_after_pause) {
        m_pause_detector.refreshed();
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
    m_probed = m_neighbours.size();
    m_refresh_deadline =
        m_now + m_settings.silence_limit + m_settings.suspicion_timeout;
    m_out->push_back(view_outdated{});
    for (std::string const& name : m_neighbours) {
        send(name, probe{m_probe_number});
    }
    check_refreshed();
}

// Half of the neighbours suffice: some may have gone meanwhile. If none
// answers, this host is cut off; once their silence has made them lost in
// its own view, that view is as good as it will get. A host that went silent
// meanwhile is no longer waited for once its report can't be refuted.
void membership::check_refreshed()
{
    if (m_pause_detector.is_current()) {
        return;
    }
    bool const undecided =
        std::any_of(m_peers.begin(), m_peers.end(), [](auto const& entry) {
            return entry.second.state == host_state::suspect;
        });
    bool const answered = m_replies.size() * 2 >= m_probed;
    if ((answered && !undecided && !m_behind_peers)
        || m_now >= m_refresh_deadline) {
        m_pause_detector.refreshed();
        m_out->push_back(view_refreshed{});
    }
}

void membership::send_heartbeats()
{
    for (auto const& [name, peer] : m_peers) {
        bool const asked =
            m_now - peer.last_reply_request < m_settings.silence_limit;
        if (peer.neighbour || asked) {
            send(name, make_heartbeat(peer.neighbour));
        }
    }
}

// Whether this host can vouch for the other: it heard it so lately that the
// next heartbeat is not overdue. Anything older would refute a true report.
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
        bool const heard = !is_silent(peer);
        if (heard != peer.reachable) {
            peer.reachable = heard;
            m_urgent = true;
        }
        if (!heard && is_view_current()) {
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

// Both parts of a split take the other's hosts for lost and have no links to
// them any more. One lost host after the other is tried, so that the parts
// find each other again when the network does.
void membership::probe_one_lost()
{
    if (m_now < m_next_lost_probe || m_peers.empty()) {
        return;
    }
    m_next_lost_probe = m_now + lost_probe_period;
    auto place = m_peers.upper_bound(m_last_probed);
    for (std::size_t tried = 0; tried < m_peers.size(); ++tried) {
        if (place == m_peers.end()) {
            place = m_peers.begin();
        }
        if (place->second.state == host_state::lost) {
            m_last_probed = place->first;
            send(place->first, make_heartbeat(true));
            return;
        }
        ++place;
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

// A full queue or a broken link loses rumours; tables that stay different
// show it, and the whole table mends it.
void membership::compare_tables(membership_peer& peer, heartbeat const& message)
{
    if (message.updates_hash == m_updates.hash()) {
        peer.mismatches = 0;
        return;
    }
    ++peer.mismatches;
    auto const spacing = std::max<model::milliseconds>(
        shortest_sync_period, sync_period_per_host * m_peers.size());
    bool const recently_synced = peer.last_synced != model::time_point{}
                                 && m_now - peer.last_synced < spacing;
    if (peer.mismatches < mismatches_before_sync || recently_synced) {
        return;
    }
    peer.mismatches = 0;
    peer.last_synced = m_now;
    send(peer.host.name, membership_updates{m_updates.all()});
}

} // namespace caperjunction::fleet
