#include "bench/fleet_bench/virtual_fleet.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace caperjunction::bench {

void virtual_fleet::inject_event(std::string const& name,
                                 fleet::agent_event const& event)
{
    handle_event(m_hosts.at(name), event);
}

void virtual_fleet::handle_event(virtual_host& to,
                                 fleet::agent_event const& event)
{
    if (to.agent == nullptr) {
        return;
    }
    if (to.paused) {
        to.deferred_events.push_back(event);
        return;
    }
    std::vector<fleet::agent_output> out;
    to.agent->handle(event, m_now, out);
    for (fleet::agent_output const& output : out) {
        execute(to, output);
    }
}

void virtual_fleet::execute(virtual_host& from,
                            fleet::agent_output const& output)
{
    auto const record = [&](fleet::published_value value,
                            fleet::checked_value const& checked) {
        from.in_force[fleet::index_of(value)].emplace_back(checked.revision,
                                                           m_now);
    };
    if (auto const* sent = std::get_if<fleet::send_message>(&output)) {
        send(from, *sent);
    } else if (auto const* watch = std::get_if<fleet::watch_value>(&output)) {
        open_watch(from, *watch);
    } else if (auto const* pair = std::get_if<fleet::lists_in_force>(&output)) {
        record(fleet::published_value::plans, pair->plans);
        record(fleet::published_value::entitlements, pair->entitlements);
    } else if (auto const* one = std::get_if<fleet::value_in_force>(&output)) {
        record(one->value, one->checked);
        if (one->value == fleet::published_value::hosts) {
            handle_event(
                from, fleet::hosts_listed{m_lists.at(one->checked.revision)});
        }
    } else if (auto const* changed =
                   std::get_if<fleet::host_changed>(&output)) {
        m_changes.push_back({m_now, from.host.name, *changed});
    } else if (auto const* bad = std::get_if<fleet::value_refused>(&output)) {
        from.refused.push_back(*bad);
    }
}

void virtual_fleet::send(virtual_host& from, fleet::send_message const& sent)
{
    auto const found = m_hosts.find(sent.to);
    if (found == m_hosts.end()) {
        return;
    }
    std::string const& name = from.host.name;
    ++from.messages_sent;
    if (m_settings.size_of) {
        std::size_t const size = m_settings.size_of(sent.message);
        from.bytes_sent += size;
        from.bytes_by_type[sent.message.index()] += size;
    }
    if (m_cuts.count({name, sent.to}) != 0 || found->second.agent == nullptr) {
        from.connected_processes.erase(sent.to);
        return;
    }
    auto arrival = m_now + latency(name, sent.to);
    std::uint64_t const process = found->second.process;
    auto const known = from.connected_processes.find(sent.to);
    if (known == from.connected_processes.end() || known->second != process) {
        // A new connection takes one round trip; its owner then gets `link_up`.
        from.connected_processes[sent.to] = process;
        arrival += 2 * latency(name, sent.to);
        at(m_now + 2 * latency(name, sent.to),
           [this, name, sender_process = from.process, to = sent.to] {
               virtual_host& owner = m_hosts.at(name);
               if (owner.process == sender_process) {
                   handle_event(owner, fleet::link_up{to});
               }
           });
    }
    auto& last = m_arrivals[{name, sent.to}];
    arrival = std::max(arrival, last);
    last = arrival;
    at(arrival, [this, name, to = sent.to, process, message = sent.message] {
        deliver(name, to, process, message);
    });
}

void virtual_fleet::deliver(std::string const& from,
                            std::string const& to,
                            std::uint64_t process,
                            fleet::peer_message const& message)
{
    virtual_host& receiver = m_hosts.at(to);
    if (receiver.process != process || receiver.agent == nullptr
        || m_cuts.count({from, to}) != 0) {
        return;
    }
    if (m_settings.size_of) {
        receiver.bytes_received += m_settings.size_of(message);
    }
    handle_event(receiver, fleet::message_received{from, message});
}

model::milliseconds virtual_fleet::latency(std::string const& from,
                                           std::string const& to) const
{
    bool const near =
        m_hosts.at(from).host.region == m_hosts.at(to).host.region;
    return near ? m_settings.latency_in_region : m_settings.latency_across;
}

void virtual_fleet::open_watch(virtual_host& from,
                               fleet::watch_value const& watch)
{
    ++m_service.calls;
    virtual_service::pending_watch const pending{
        from.host.name, from.process, watch};
    at(m_now + m_settings.service_latency, [this, pending] {
        serve_watch(pending);
    });
}

void virtual_fleet::serve_watch(virtual_service::pending_watch const& pending)
{
    auto const& current = m_service.read(pending.watch.value);
    if (m_service.down()
        || m_service.unreachable_from.count(pending.host) != 0) {
        answer(pending, fleet::read_ended{pending.watch.value, true});
    } else if (current.revision > pending.watch.after
               || (m_service.returns_lower_revision
                   && current.revision < pending.watch.after)) {
        answer(pending,
               fleet::value_read{
                   pending.watch.value, current.revision, current.body});
    } else if (pending.watch.wait.count() == 0) {
        answer(pending, fleet::read_ended{pending.watch.value, false});
    } else {
        auto shorter = pending;
        shorter.watch.wait = model::milliseconds(0);
        m_service.watches().push_back(pending);
        at(m_now + pending.watch.wait, [this, shorter] {
            auto& open = m_service.watches();
            auto const found =
                std::find_if(open.begin(), open.end(), [&](auto const& each) {
                    return each.host == shorter.host
                           && each.process == shorter.process
                           && each.watch.value == shorter.watch.value
                           && each.watch.after == shorter.watch.after;
                });
            if (found != open.end()) {
                open.erase(found);
                serve_watch(shorter);
            }
        });
    }
}

void virtual_fleet::serve_pending_watches()
{
    auto const open = std::exchange(m_service.watches(), {});
    for (virtual_service::pending_watch const& pending : open) {
        serve_watch(pending);
    }
}

void virtual_fleet::answer(virtual_service::pending_watch const& pending,
                           fleet::agent_event const& event)
{
    at(m_now + m_settings.service_latency, [this, pending, event] {
        virtual_host& asker = m_hosts.at(pending.host);
        if (asker.process == pending.process) {
            handle_event(asker, event);
        }
    });
}

} // namespace caperjunction::bench
