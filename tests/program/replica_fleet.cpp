#include "program/replica_fleet.hpp"

#include "proxy/leaving_notices.hpp"

#include <algorithm>
#include <utility>

namespace caperjunction::test {
namespace {

constexpr model::milliseconds step_time{50};
/// 200 ms between the digests of a host, staggered over the hosts.
constexpr std::uint64_t steps_per_digest = 4;
constexpr model::milliseconds fetch_time{80};
constexpr model::milliseconds read_time{50};
/// Three heartbeats, after which the store removes the entry of an upstream
/// that is gone.
constexpr model::milliseconds lapse_time{3'600};

model::endpoint address_of(std::size_t number)
{
    return {"10." + std::to_string(number / 200) + ".0."
                + std::to_string(number % 200),
            7'000};
}

} // namespace

replica_fleet::replica_fleet(std::size_t hosts, std::size_t data_centres)
{
    m_seeds = {address_of(0), address_of(hosts / 2), address_of(hosts - 1)};
    m_hosts.resize(hosts);
    for (std::size_t number = 0; number < hosts; ++number) {
        m_hosts[number].self = address_of(number);
        m_hosts[number].data_centre = number % data_centres;
        m_numbers[m_hosts[number].self] = number;
    }
    change(configuration_item(3, 0));
    for (member& host : m_hosts) {
        start(host);
    }
    run_for(8s);
}

void replica_fleet::start(member& host)
{
    proxy::relay_settings settings;
    settings.peer_listen = host.self;
    settings.data_centre = host.data_centre;
    settings.seeds = m_seeds;
    host.state = std::make_unique<replica_host>(m_loop, settings);
    host.scheduler = {};
    host.read_up_to = {};
    host.fetching.reset();
    host.starts_at = model::time_point::max();
    host.undisturbed_since = m_now;
    host.sequence = 0;
    ++host.generation;
}

void replica_fleet::change(proxy::store_item item)
{
    item.revision = ++m_store.revision;
    item.era = m_era;
    if (item.removed) {
        m_store.items.erase(item.key);
    } else {
        m_store.items[item.key] = item;
    }
    m_store.changes.push_back(std::move(item));
    m_copies[m_now] = m_store;
}

void replica_fleet::write(std::string const& id, std::string const& state)
{
    change(upstream_item(id, 0, state));
    if (state != "ready") {
        m_departures.push_back({id, m_now, {}});
    }
}

void replica_fleet::remove(std::string const& id)
{
    change(removal_item(id, 0));
    bool const is_known = std::any_of(
        m_departures.begin(), m_departures.end(), [&id](departure const& it) {
            return it.id == id;
        });
    if (!is_known) {
        m_departures.push_back({id, m_now, {}});
    }
}

void replica_fleet::go_back(model::milliseconds age,
                            model::milliseconds written_after)
{
    auto const newer = m_copies.upper_bound(m_now - age);
    auto const copy = newer == m_copies.begin() ? newer : std::prev(newer);
    std::uint64_t const kept = copy->second.revision;
    for (proxy::store_item const& item : m_store.changes) {
        if (item.revision > kept) {
            auto const after = item.removed
                                   ? std::min(written_after, lapse_time)
                                   : written_after;
            m_lost.push_back({m_now + after, item});
        }
    }
    m_store = stored_state(copy->second);
    m_store.changes.clear();
    ++m_era;
    for (auto& [key, item] : m_store.items) {
        item.era = m_era;
    }
    m_copies = {{m_now, m_store}};
}

void replica_fleet::kill(std::size_t host, model::milliseconds down_for)
{
    m_hosts[host].state.reset();
    m_hosts[host].starts_at = m_now + down_for;
}

void replica_fleet::set_frozen(std::size_t host, bool is_frozen)
{
    m_hosts[host].is_frozen = is_frozen;
    m_hosts[host].undisturbed_since = m_now;
}

void replica_fleet::set_cut(std::size_t host, bool is_cut)
{
    m_hosts[host].is_cut = is_cut;
    m_hosts[host].undisturbed_since = m_now;
}

void replica_fleet::run_for(model::milliseconds time)
{
    auto const until = m_now + time;
    while (m_now < until) {
        step();
    }
}

void replica_fleet::step()
{
    m_now += step_time;
    for (auto item = m_lost.begin(); item != m_lost.end();) {
        if (item->due > m_now) {
            ++item;
            continue;
        }
        auto const again = item->item;
        item = m_lost.erase(item);
        change(again);
    }
    for (std::size_t number = 0; number < m_hosts.size(); ++number) {
        member& host = m_hosts[number];
        if (m_now >= host.starts_at) {
            start(host);
        }
        if (!runs(host)) {
            continue;
        }
        host.state->context.directory.drop_missing(m_now);
        host.state->replica.settle();
        host.state->context.peers.forget_silent(m_now);
        if (!host.is_cut) {
            watch_store(host);
            end_fetch(host);
            fetch(host);
        }
        std::uint64_t const tick =
            static_cast<std::uint64_t>(m_now.time_since_epoch() / step_time)
            + number;
        if (tick % steps_per_digest == 0 && !host.is_cut) {
            send_digests(number);
        }
    }
    record_uses();
}

void replica_fleet::read_store(member& host)
{
    ++reads;
    std::vector<std::string> keys;
    host.state->replica.enter_era(m_era);
    for (auto const& [key, item] : m_store.items) {
        keys.push_back(key);
        host.state->replica.apply(item);
    }
    routing::store_position const at{m_store.revision, m_era};
    host.state->replica.retain_only(keys, at);
    host.state->replica.commit(at);
    host.read_up_to = at;
}

// A starting host reads the store, and one that watches it for others has each
// change at once.
void replica_fleet::watch_store(member& host)
{
    bool const has_read = host.read_up_to.is_set();
    bool const is_starting = m_now < host.undisturbed_since + read_time;
    if ((!has_read && is_starting)
        || (has_read && !host.state->context.peers.is_store_watcher())) {
        return;
    }
    auto const known = host.state->context.known.all();
    host.read_up_to = std::max(host.read_up_to, known);
    if (!has_read || host.read_up_to.era != m_era) {
        read_store(host);
        return;
    }
    for (proxy::store_item const& item : m_store.changes) {
        if (item.revision > host.read_up_to.revision) {
            host.state->replica.apply(item);
        }
    }
    host.read_up_to = {m_store.revision, m_era};
    host.state->replica.commit(host.read_up_to);
}

void replica_fleet::send_digests(std::size_t number)
{
    member& from = m_hosts[number];
    proxy::relay_context& context = from.state->context;
    routing::peer_digest own;
    own.generation = from.generation;
    own.sequence = ++from.sequence;
    own.data_centre = from.data_centre;
    own.revisions = context.known;
    own.leaving = proxy::leaving_to_advertise(context);
    auto const digests = context.peers.make_digests(own);
    for (auto const& to :
         context.peers.recipients(m_now, context.known, false)) {
        member& receiver = m_hosts[m_numbers.at(to.at)];
        if (!is_reachable(receiver)) {
            continue;
        }
        routing::peer_digest digest = digests.of(to.kind);
        digest.requests_reply = to.requests_reply;
        digest.neighbours =
            context.peers.neighbours_for(to.at, to.max_neighbours, m_random());
        receiver.state->context.peers.record_digest(from.self, digest, m_now);
    }
    context.peers.aggregate();
    proxy::apply_advertised_leaving(context);
}

void replica_fleet::fetch(member& host)
{
    proxy::relay_context& context = host.state->context;
    if (host.fetching) {
        return;
    }
    auto const newer = context.peers.newer_than(
        context.known, routing::list_kind::upstreams, m_random());
    routing::fetch_scheduler::host_state const state{
        context.table != nullptr,
        context.peers.is_store_watcher(),
        context.peers.is_aggregator()};
    if (host.scheduler.is_due(newer, state, m_now)) {
        host.fetching = {m_now + fetch_time,
                         m_numbers.at(*newer.at),
                         context.known.upstreams};
    }
}

void replica_fleet::end_fetch(member& host)
{
    if (!host.fetching || host.fetching->due > m_now) {
        return;
    }
    auto const ended = std::exchange(host.fetching, std::nullopt);
    member& source = m_hosts[ended->from];
    if (is_reachable(source)) {
        host.state->replica.merge(source.state->replica.changes(ended->since));
    }
}

void replica_fleet::record_uses()
{
    for (departure& left : m_departures) {
        for (std::size_t number = 0; number < m_hosts.size(); ++number) {
            member const& host = m_hosts[number];
            if (is_reachable(host) && host.state->uses(left.id)) {
                left.uses[number] = {m_now, host.undisturbed_since};
            }
        }
    }
}

model::milliseconds
replica_fleet::longest_use(model::milliseconds contact) const
{
    model::milliseconds longest{0};
    for (departure const& left : m_departures) {
        for (auto const& [number, use] : left.uses) {
            if (use.first >= use.second + contact) {
                longest =
                    std::max(longest,
                             std::chrono::duration_cast<model::milliseconds>(
                                 use.first - left.at));
            }
        }
    }
    return longest;
}

} // namespace caperjunction::test
