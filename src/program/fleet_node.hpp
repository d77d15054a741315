#ifndef CAPERJUNCTION_PROGRAM_FLEET_NODE_HPP
#define CAPERJUNCTION_PROGRAM_FLEET_NODE_HPP

#include "fleet/agent.hpp"
#include "lists/catalogue.hpp"
#include "model/host_list.hpp"
#include "model/upstream_list.hpp"
#include "net/peer_link.hpp"
#include "net/platform_reader.hpp"
#include "program/list_checker.hpp"
#include "program/settings.hpp"
#include "runtime/event_loop.hpp"

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::program {

/// This host's node in the fleet. Passes input from the platform and the peers
/// to the fleet agent (membership, configuration and digests), and executes the
/// agent's outputs.
///
/// Thread safety: none; owned by one task.
class fleet_node
{
public:
    fleet_node(runtime::event_loop& loop,
               settings const& settings,
               std::uint64_t generation);

    /// Starts reading. \pre The signals are connected.
    void start();

    /// Returns false if the host is not listed or its queue is full.
    bool send(std::string const& host, fleet::peer_message const& message);

    void publish_digest(std::vector<std::uint8_t> bytes);

    /// Announces to all hosts that this host is leaving.
    void plan_stop();

    /// Requests the host list from the service. Emits `list_confirmed` if the
    /// list in force is the service's newest.
    void confirm_hosts();

    bool ready() const
    {
        return m_agent.ready();
    }

    /// Returns false after a pause, until the view has been refreshed.
    bool is_view_current() const
    {
        return m_agent.is_view_current();
    }

    std::shared_ptr<fleet::host_view const> view() const
    {
        return m_agent.view();
    }

    fleet::value_revisions in_force() const
    {
        return m_agent.in_force();
    }

    /// Returns 0 if the peer link is disabled.
    std::uint16_t peer_port() const;

    /// Returns zeros if the peer link is disabled.
    net::peer_link_counters link_counters() const;

    sigc::signal<void(std::shared_ptr<lists::catalogue const>)> lists_changed;
    sigc::signal<void(model::upstream_list const&)> upstreams_changed;
    sigc::signal<void(model::host_list const&)> hosts_changed;
    /// Emitted after a published value was checked. It is in force if
    /// `accepted`.
    sigc::signal<void(bool accepted)> value_checked;
    sigc::signal<void(fleet::host_changed const&)> host_changed;
    sigc::signal<void(fleet::digest_arrived const&)> digest_arrived;
    /// Messages of other kinds than membership, configuration and digests.
    sigc::signal<void(std::string const&, fleet::peer_message const&)>
        message_received;
    /// The host list in force was the service's newest at the given time.
    sigc::signal<void(model::time_point)> list_confirmed;
    sigc::signal<void()> outdated;
    sigc::signal<void()> refreshed;

private:
    void handle_event(fleet::agent_event const& event);
    void execute(fleet::agent_output const& output);
    void receive(std::string const& from, fleet::peer_message const& message);
    void apply_lists(fleet::lists_in_force const& lists);
    void apply_value(fleet::value_in_force const& value);
    void record_confirmation(fleet::published_value value,
                             std::uint64_t revision,
                             model::time_point started);
    void connect_reader();
    void connect_link();

    runtime::event_loop& m_loop;
    list_checker m_checker;
    fleet::agent m_agent;
    net::platform_reader m_reader;
    // Reader for confirmations only. The agent counts the ends of its own
    // reads, so confirmations need a separate reader.
    net::platform_reader m_confirmer;
    std::unique_ptr<net::peer_link> m_link;
};

} // namespace caperjunction::program

#endif
