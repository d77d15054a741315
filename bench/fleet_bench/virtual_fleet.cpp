#include "bench/fleet_bench/virtual_fleet.hpp"

#include "fleet/generation.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace caperjunction::bench {
namespace {

// Wall clock time at the start of the virtual time; the value is arbitrary.
constexpr std::chrono::hours wall_clock_start{500'000};

std::string text_after(std::string const& body, std::string const& word)
{
    auto const position = body.find(word);
    if (position == std::string::npos) {
        return {};
    }
    return body.substr(position + word.size());
}

} // namespace

std::vector<lists::fault> check_by_keywords(fleet::value_bodies const& bodies)
{
    for (std::string const* body :
         {bodies.plans, bodies.entitlements, bodies.hosts, bodies.upstreams}) {
        if (body != nullptr && body->find("bad") != std::string::npos) {
            return {{"value", "/", "it is bad", "publish a better one"}};
        }
    }
    bool const pair = bodies.plans != nullptr && bodies.entitlements != nullptr;
    if (pair
        && text_after(*bodies.plans, "pair")
               != text_after(*bodies.entitlements, "pair")) {
        return {{"value", "/", "no pair", "publish the other list"}};
    }
    return {};
}

virtual_fleet::virtual_fleet(virtual_fleet_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
{
    if (!m_settings.agent.configuration.check) {
        m_settings.agent.configuration.check = check_by_keywords;
    }
}

void virtual_fleet::add_host(std::string const& name, std::string const& region)
{
    virtual_host added;
    added.host.name = name;
    added.host.region = region;
    added.host.data_centre = region + "-a";
    m_hosts.emplace(name, std::move(added));
    m_listed.insert(name);
}

void virtual_fleet::unlist_host(std::string const& name)
{
    m_listed.erase(name);
}

void virtual_fleet::publish_hosts()
{
    model::host_list list;
    list.revision = m_revision + 1;
    for (std::string const& name : m_listed) {
        list.members.push_back(m_hosts.at(name).host);
    }
    m_lists[list.revision] = list;
    publish(fleet::published_value::hosts,
            "hosts " + std::to_string(list.revision));
}

void virtual_fleet::publish(fleet::published_value value, std::string body)
{
    ++m_revision;
    m_service.publish(
        value,
        {m_revision, std::make_shared<std::string const>(std::move(body))});
    serve_pending_watches();
}

void virtual_fleet::start(std::string const& name)
{
    virtual_host& started = m_hosts.at(name);
    ++started.process;
    started.paused = false;
    started.deferred_events.clear();
    started.connected_processes.clear();
    fleet::agent_settings host_settings = m_settings.agent;
    host_settings.membership.self = started.host;
    auto const wall = std::chrono::system_clock::time_point(
        wall_clock_start
        + std::chrono::duration_cast<std::chrono::milliseconds>(
            m_now.time_since_epoch()));
    host_settings.membership.generation =
        fleet::make_generation(wall, static_cast<std::uint32_t>(m_random()));
    host_settings.configuration.seed = m_random();
    started.agent = std::make_unique<fleet::agent>(host_settings);
    std::uniform_int_distribution<std::int64_t> phase(
        0, m_settings.tick.count() - 1);
    auto const process = started.process;
    at(m_now + model::milliseconds(phase(m_random)), [this, name, process] {
        tick(name, process);
    });
    if (m_settings.digest_bytes != 0) {
        at(m_now + model::milliseconds(phase(m_random)), [this, name, process] {
            make_digest(name, process);
        });
    }
}

void virtual_fleet::start_all()
{
    for (auto const& [name, each] : m_hosts) {
        start(name);
    }
}

void virtual_fleet::crash(std::string const& name)
{
    virtual_host& ended = m_hosts.at(name);
    ended.agent.reset();
    ended.deferred_events.clear();
}

void virtual_fleet::leave(std::string const& name)
{
    handle_event(m_hosts.at(name), fleet::stop_planned{});
}

void virtual_fleet::pause(std::string const& name)
{
    m_hosts.at(name).paused = true;
}

void virtual_fleet::resume(std::string const& name)
{
    virtual_host& target = m_hosts.at(name);
    target.paused = false;
    auto const deferred = std::exchange(target.deferred_events, {});
    for (fleet::agent_event const& event : deferred) {
        handle_event(target, event);
    }
}

void virtual_fleet::cut(std::string const& from, std::string const& to)
{
    m_cuts.insert({from, to});
}

void virtual_fleet::heal(std::string const& from, std::string const& to)
{
    m_cuts.erase({from, to});
    // The cut closed the connection; the next message opens a new one.
    m_hosts.at(from).connected_processes.erase(to);
}

void virtual_fleet::heal_all()
{
    auto const cuts = m_cuts;
    for (auto const& [from, to] : cuts) {
        heal(from, to);
    }
}

void virtual_fleet::run_for(model::milliseconds time)
{
    auto const end = m_now + time;
    while (!m_actions.empty() && m_actions.begin()->first <= end) {
        auto next = m_actions.extract(m_actions.begin());
        m_now = std::max(m_now, next.key());
        next.mapped()();
    }
    m_now = end;
}

void virtual_fleet::at(model::time_point when, action run)
{
    m_actions.emplace(when, std::move(run));
}

void virtual_fleet::tick(std::string const& name, std::uint64_t process)
{
    virtual_host& target = m_hosts.at(name);
    if (target.process != process || target.agent == nullptr) {
        return;
    }
    if (!target.paused) {
        handle_event(target, fleet::agent_tick{});
    }
    at(m_now + m_settings.tick, [this, name, process] {
        tick(name, process);
    });
}

void virtual_fleet::make_digest(std::string const& name, std::uint64_t process)
{
    virtual_host& made = m_hosts.at(name);
    if (made.process != process || made.agent == nullptr) {
        return;
    }
    if (!made.paused) {
        handle_event(made,
                     fleet::digest_updated{std::vector<std::uint8_t>(
                         m_settings.digest_bytes, 1)});
    }
    at(m_now + m_settings.digest_period, [this, name, process] {
        make_digest(name, process);
    });
}

} // namespace caperjunction::bench
