#include "program/fleet_node.hpp"

#include "lists/parse_hosts.hpp"
#include "lists/parse_upstreams.hpp"
#include "runtime/log_line.hpp"

#include <utility>

namespace caperjunction::program {
namespace {

fleet::agent_settings agent_settings_of(settings const& own,
                                        std::uint64_t generation,
                                        list_checker& checker)
{
    fleet::agent_settings result;
    result.membership.self.name = own.host_name;
    result.membership.self.region = own.region;
    result.membership.self.data_centre = own.data_centre;
    result.membership.generation = generation;
    result.configuration.seed = generation;
    result.configuration.check = [&checker](fleet::value_bodies const& bodies) {
        return checker.check(bodies);
    };
    return result;
}

char const* change_name(fleet::host_change change)
{
    switch (change) {
    case fleet::host_change::lost:
        return "host_lost";
    case fleet::host_change::leaving:
        return "host_leaving";
    case fleet::host_change::returned:
        return "host_returned";
    case fleet::host_change::restarted:
        break;
    }
    return "host_restarted";
}

void log_refused(fleet::value_refused const& refused)
{
    for (lists::fault const& item : refused.faults) {
        runtime::log_line("list_fault")
            .field("value", fleet::to_string(refused.value))
            .field("revision", refused.revision)
            .field("path", item.path)
            .field("message", item.message)
            .field("remedy", item.remedy);
    }
}

} // namespace

fleet_node::fleet_node(runtime::event_loop& loop,
                       settings const& settings,
                       std::uint64_t generation)
    : m_loop(loop)
    , m_agent(agent_settings_of(settings, generation, m_checker))
    , m_reader(loop, settings.platform, settings.watch_wait)
    , m_confirmer(loop, settings.platform, settings.watch_wait)
{
    connect_reader();
    if (!settings.peer_secret.empty()) {
        net::peer_link_settings link;
        link.host = settings.host_name;
        link.listen = settings.peer_listen;
        link.secret = settings.peer_secret;
        m_link = std::make_unique<net::peer_link>(loop, link);
        connect_link();
    }
}

void fleet_node::connect_reader()
{
    m_reader.arrived.connect(
        [this](fleet::value_read const& read, model::time_point started) {
            handle_event(read);
            record_confirmation(read.value, read.revision, started);
        });
    m_reader.ended.connect(
        [this](fleet::read_ended const& end, model::time_point started) {
            if (end.failed) {
                runtime::log_line("platform_unreachable")
                    .field("value", fleet::to_string(end.value))
                    .field("remedy",
                           "check --platform and the service; the current "
                           "values stay in force");
            }
            handle_event(end);
            if (!end.failed) {
                auto const in_force = m_agent.in_force();
                record_confirmation(end.value, in_force[end.value], started);
            }
        });
    // The agent's own reads fetch a newer list. Here, only the answer that
    // there is no newer list counts as a confirmation.
    m_confirmer.ended.connect(
        [this](fleet::read_ended const& end, model::time_point started) {
            if (!end.failed) {
                record_confirmation(
                    end.value, m_agent.in_force()[end.value], started);
            }
        });
}

void fleet_node::connect_link()
{
    m_link->received.connect(
        [this](std::string const& from, fleet::peer_message const& message) {
            receive(from, message);
        });
    m_link->connected.connect([this](std::string const& host) {
        runtime::log_line("peer_connected").field("peer", host);
        handle_event(fleet::link_up{host});
    });
    m_link->disconnected.connect([](std::string const& host) {
        runtime::log_line("peer_disconnected").field("peer", host);
    });
    m_link->failed.connect(
        [](std::string const& host, model::error const& failure) {
            runtime::log_line("peer_failed")
                .field("peer", host)
                .field("kind", model::to_string(failure.kind()))
                .field("message", failure.what())
                .field("remedy", failure.remedy());
        });
}

void fleet_node::start()
{
    m_loop.every(fleet::agent::tick_period, [this] {
        handle_event(fleet::agent_tick{});
    });
    handle_event(fleet::agent_tick{});
}

bool fleet_node::send(std::string const& host,
                      fleet::peer_message const& message)
{
    return m_link != nullptr && m_link->send(host, message);
}

void fleet_node::publish_digest(std::vector<std::uint8_t> bytes)
{
    handle_event(fleet::digest_updated{std::move(bytes)});
}

void fleet_node::plan_stop()
{
    handle_event(fleet::stop_planned{});
}

void fleet_node::confirm_hosts()
{
    auto const hosts = fleet::published_value::hosts;
    m_confirmer.watch(hosts, m_agent.in_force()[hosts], model::milliseconds{0});
}

std::uint16_t fleet_node::peer_port() const
{
    return m_link == nullptr ? std::uint16_t{0} : m_link->port();
}

net::peer_link_counters fleet_node::link_counters() const
{
    return m_link == nullptr ? net::peer_link_counters{} : m_link->counters();
}

// A read that was started before a pause may have been answered before the
// pause. Therefore it confirms the list as of the time at which it was started.
void fleet_node::record_confirmation(fleet::published_value value,
                                     std::uint64_t revision,
                                     model::time_point started)
{
    bool const is_hosts = value == fleet::published_value::hosts;
    if (is_hosts && revision > 0 && m_agent.in_force()[value] == revision) {
        list_confirmed.emit(started);
    }
}

void fleet_node::receive(std::string const& from,
                         fleet::peer_message const& message)
{
    bool const is_for_owner =
        std::holds_alternative<fleet::claim_message>(message)
        || std::holds_alternative<fleet::hand_over_request>(message)
        || std::holds_alternative<fleet::hand_over_chunk>(message)
        || std::holds_alternative<fleet::hand_over_end>(message)
        || std::holds_alternative<fleet::hand_over_cancel>(message)
        || std::holds_alternative<fleet::order_request>(message);
    if (is_for_owner) {
        message_received.emit(from, message);
    } else {
        handle_event(fleet::message_received{from, message});
    }
}

void fleet_node::handle_event(fleet::agent_event const& event)
{
    std::vector<fleet::agent_output> outputs;
    m_agent.handle(event, m_loop.now(), outputs);
    for (fleet::agent_output const& output : outputs) {
        execute(output);
    }
}

void fleet_node::execute(fleet::agent_output const& output)
{
    if (auto const* message = std::get_if<fleet::send_message>(&output)) {
        send(message->to, message->message);
    } else if (auto const* peers = std::get_if<fleet::keep_links>(&output)) {
        if (m_link != nullptr) {
            m_link->set_persistent_peers(peers->hosts);
        }
    } else if (auto const* wait = std::get_if<fleet::watch_value>(&output)) {
        m_reader.watch(wait->value, wait->after, wait->wait);
    } else if (auto const* lists =
                   std::get_if<fleet::lists_in_force>(&output)) {
        apply_lists(*lists);
    } else if (auto const* value =
                   std::get_if<fleet::value_in_force>(&output)) {
        apply_value(*value);
    } else if (auto const* refused =
                   std::get_if<fleet::value_refused>(&output)) {
        value_checked.emit(false);
        log_refused(*refused);
    } else if (auto const* change = std::get_if<fleet::host_changed>(&output)) {
        runtime::log_line(change_name(change->change))
            .field("peer", change->host)
            .field("reason", change->reason);
        host_changed.emit(*change);
    } else if (auto const* digest =
                   std::get_if<fleet::digest_arrived>(&output)) {
        digest_arrived.emit(*digest);
    } else if (std::holds_alternative<fleet::view_outdated>(output)) {
        runtime::log_line("view_outdated")
            .field("remedy",
                   "the process was paused; decisions wait "
                   "until the view is refreshed");
        outdated.emit();
    } else if (std::holds_alternative<fleet::view_refreshed>(output)) {
        runtime::log_line const line("view_refreshed");
        refreshed.emit();
    }
}

void fleet_node::apply_lists(fleet::lists_in_force const& lists)
{
    auto [plans, entitlements] =
        m_checker.take_parsed(*lists.plans.body, *lists.entitlements.body);
    plans.revision = lists.plans.revision;
    entitlements.revision = lists.entitlements.revision;
    runtime::log_line("lists_in_force")
        .field("plans_revision", plans.revision)
        .field("entitlements_revision", entitlements.revision);
    value_checked.emit(true);
    lists_changed.emit(std::make_shared<lists::catalogue const>(
        std::move(plans), std::move(entitlements)));
}

void fleet_node::apply_value(fleet::value_in_force const& value)
{
    std::vector<lists::fault> faults;
    std::string const& body = *value.checked.body;
    value_checked.emit(true);
    if (value.value == fleet::published_value::upstreams) {
        auto upstreams = lists::parse_upstreams(body, "upstreams", faults);
        upstreams.revision = value.checked.revision;
        runtime::log_line("upstreams_in_force")
            .field("upstreams_revision", upstreams.revision)
            .field("engines", upstreams.engines.size())
            .field("services", upstreams.services.size());
        upstreams_changed.emit(upstreams);
        return;
    }
    auto hosts = lists::parse_hosts(body, "hosts", faults);
    hosts.revision = value.checked.revision;
    runtime::log_line("hosts_in_force")
        .field("hosts_revision", hosts.revision)
        .field("hosts", hosts.members.size());
    if (m_link != nullptr) {
        m_link->set_hosts(hosts.members);
    }
    handle_event(fleet::hosts_listed{hosts});
    hosts_changed.emit(hosts);
}

} // namespace caperjunction::program
