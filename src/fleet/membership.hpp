#ifndef CAPERJUNCTION_FLEET_MEMBERSHIP_HPP
#define CAPERJUNCTION_FLEET_MEMBERSHIP_HPP

#include "fleet/agent_event.hpp"
#include "fleet/agent_output.hpp"
#include "fleet/membership_peer.hpp"
#include "fleet/membership_settings.hpp"
#include "fleet/pause_detector.hpp"
#include "fleet/update_table.hpp"
#include "model/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace caperjunction::fleet {

/// Failure detector and membership gossip over the platform's list of hosts.
///
/// A neighbour that receives no heartbeat from a host for the silence limit
/// broadcasts a suspicion. Any other neighbour that receives its heartbeats
/// refutes it immediately. A host is lost only if its suspicion is not refuted
/// in time: a host that is unreachable from only one other stays in every view.
///
/// Thread safety: none; owned by one task.
class membership
{
public:
    explicit membership(membership_settings settings);

    /// Handles one event at time `now` and appends the outputs to `out`.
    ///
    /// \pre `now` is not before that of any earlier call.
    void handle(agent_event const& event,
                model::time_point now,
                std::vector<agent_output>& out);

    /// Sets the configuration announced by the next heartbeats.
    void set_announcement(config_announce const& configuration)
    {
        m_configuration = configuration;
    }

    /// Sets whether peers have a newer configuration than this host. After a
    /// pause the view is not refreshed until this host has caught up.
    void set_behind_peers(bool behind)
    {
        m_behind_peers = behind;
    }

    std::shared_ptr<host_view const> view() const
    {
        return m_view;
    }

    /// Returns the sorted names of the hosts that this one exchanges heartbeats
    /// with.
    std::vector<std::string> const& neighbours() const
    {
        return m_neighbours;
    }

    /// Returns false from a long pause until neighbours have answered again.
    bool is_view_current() const
    {
        return m_pause_detector.is_current();
    }

private:
    using outputs = std::vector<agent_output>;

    // membership.cpp: events and messages.
    void on_event(hosts_listed const& event);
    void on_event(message_received const& event);
    void on_event(link_up const& event);
    void on_event(stop_planned const& event);
    void on_event(agent_tick const& event);

    template <typename Other>
    void on_event(Other const&)
    {
    }

    void handle_heartbeat(std::string const& from, heartbeat const& message);
    void handle_probe_reply(std::string const& from,
                            probe_reply const& message);
    void record_contact(std::string const& from,
                        std::uint64_t generation,
                        bool leaving);
    void refute_on_contact(membership_peer const& peer,
                           membership_update known);
    void handle_update(membership_update const& update);
    void handle_update_about_self(membership_update const& update);
    void supersede_predecessor(membership_update const& update);
    void report_unlisted(std::map<std::string, membership_peer> const& listed);
    void refute(membership_update update);
    bool merge_update(membership_update const& update);

    // membership_tick.cpp: timeouts.
    void begin_refresh();
    void send_heartbeats();
    void check_silence();
    void report_suspect(membership_peer& peer);
    void probe_one_lost();
    void expire_suspects();
    void check_refreshed();
    void compare_tables(membership_peer& peer, heartbeat const& message);
    bool has_recent_contact(membership_peer const& peer) const;
    bool is_silent(membership_peer const& peer) const;

    // membership_view.cpp: views and outgoing messages.
    void broadcast_updates();
    void update_view(bool is_tick);
    host_state state_of(membership_peer const& peer) const;
    void report_change(membership_peer const& peer, host_state before);
    void update_neighbours();
    void publish();
    heartbeat make_heartbeat(bool expects_reply) const;
    void send(std::string const& to, peer_message message);
    membership_peer* find(std::string const& name);

    membership_settings m_settings;
    update_table m_updates;
    pause_detector m_pause_detector;
    std::map<std::string, membership_peer> m_peers;
    std::vector<std::string> m_neighbours;
    std::shared_ptr<host_view const> m_view;
    config_announce m_configuration;
    std::uint64_t m_list_revision = 0;
    model::time_point m_started{};
    bool m_leaving = false;
    /// Hosts whose state has to be recomputed.
    std::set<std::string> m_changed_hosts;
    /// The published view is outdated; if urgent, publish before the next tick.
    bool m_view_outdated = false;
    bool m_publish_now = true;
    model::time_point m_next_heartbeat{};
    std::string m_last_probed_lost_host;
    model::time_point m_next_lost_probe{};

    // After a pause: probes sent and the neighbours that answered.
    std::uint64_t m_probe_number = 0;
    std::size_t m_probes_sent = 0;
    std::set<std::string> m_replies;
    bool m_behind_peers = false;
    model::time_point m_refresh_deadline{};

    // Valid during `handle`.
    model::time_point m_now{};
    outputs* m_out = nullptr;
    std::vector<membership_update> m_pending_updates;
};

} // namespace caperjunction::fleet

#endif
