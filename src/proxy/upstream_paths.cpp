#include "proxy/upstream_paths.hpp"

#include "proxy/tunnel_candidates.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace caperjunction::proxy {
namespace {

/// Links that are tried at once. More than one, because an upstream may have
/// crashed while the links were lost.
constexpr std::size_t probes_at_once = 3;

/// Links that a sweep tries, and neighbours of a lost link: the bound of what a
/// host with many lost links sends.
constexpr std::size_t max_probes = 8;

/// Upstreams of one service whose links are lost before the others are tried.
constexpr std::size_t min_lost_of_service = 2;

std::size_t lost_links_of(relay_context const& context,
                          std::string const& service)
{
    auto const& all = context.directory.of_service(service);
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](auto const& item) {
            return item->link.is_lost();
        }));
}

/// Reports the first lost link of a service, and when all are regained.
void report_change(relay_context& context, std::string const& service)
{
    std::size_t const lost = lost_links_of(context, service);
    auto const known = context.lost_services.find(service);
    bool const was_lost = known != context.lost_services.end();
    if (was_lost == (lost > 0)) {
        return;
    }
    reach_report report;
    report.service = service;
    report.is_lost = lost > 0;
    report.upstreams = context.directory.of_service(service).size();
    report.peers =
        context.peers.tunnel_peers(context.settings.tunnel_listen.port).size();
    if (was_lost) {
        report.lost_for = std::chrono::duration_cast<model::milliseconds>(
            context.loop.now() - known->second);
        context.lost_services.erase(known);
    } else {
        context.lost_services.emplace(service, context.loop.now());
    }
    if (context.on_reach_changed) {
        context.on_reach_changed(report);
    }
}

void probe(relay_context& context, routing::upstream_ptr const& upstream)
{
    upstream->link.record_probe(context.loop.now());
    context.pool.probe(upstream,
                       std::nullopt,
                       context.settings.connect_timeout,
                       [&context, upstream](std::optional<answer_fault> fault) {
                           if (!fault) {
                               record_connected(context, *upstream);
                           } else {
                               record_unreachable(context, *upstream);
                           }
                       });
}

/// Finds out whether another host reaches an upstream, before a request is sent
/// that way.
void seek_detour(relay_context& context, routing::upstream_ptr const& upstream)
{
    auto const peer = routing::choose_tunnel(
        tunnel_candidates(context, {}, *upstream), context.next_probe++);
    if (!peer) {
        return;
    }
    context.pool.probe(
        upstream,
        peer,
        context.settings.connect_timeout,
        [&context, upstream, at = *peer](std::optional<answer_fault> fault) {
            if (fault) {
                record_detour_failure(context, *upstream, at);
                return;
            }
            if (upstream->link.record_detour(true)) {
                // Its failures were those of this host's link.
                upstream->health = {};
            }
        });
}

/// Tries the links to the other upstreams of a service of which some are lost,
/// before requests do.
void probe_neighbours(relay_context& context, std::string const& service)
{
    if (lost_links_of(context, service) < min_lost_of_service) {
        return;
    }
    std::size_t started = 0;
    for (auto const& item : context.directory.of_service(service)) {
        bool const is_due =
            item->link.is_neighbour_probe_due(context.loop.now());
        if (is_due && started < max_probes) {
            ++started;
            probe(context, item);
        }
    }
}

void probe_lost_links(relay_context& context)
{
    auto const now = context.loop.now();
    std::size_t started = 0;
    for (auto const& [service, since] : context.lost_services) {
        for (auto const& item : context.directory.of_service(service)) {
            if (started >= max_probes) {
                return;
            }
            bool const is_reached =
                item->link.is_lost()
                && !tunnel_candidates(context, {}, *item).empty();
            if (!item->link.is_probe_due(is_reached, now)) {
                continue;
            }
            ++started;
            probe(context, item);
            if (!item->link.has_detour()) {
                seek_detour(context, item);
            }
        }
    }
}

/// Returns upstreams to probe, others each time.
std::vector<routing::upstream_ptr> next_to_probe(relay_context& context)
{
    std::vector<routing::upstream_ptr> all;
    context.directory.each_service([&](std::string const& service) {
        auto const& upstreams = context.directory.of_service(service);
        all.insert(all.end(), upstreams.begin(), upstreams.end());
    });
    std::vector<routing::upstream_ptr> chosen;
    for (std::size_t count = 0; count < std::min(probes_at_once, all.size());
         ++count) {
        chosen.push_back(all[context.next_probe++ % all.size()]);
    }
    return chosen;
}

std::size_t waiting_upstreams(relay_context const& context)
{
    std::size_t waiting = 0;
    context.directory.each([&waiting](routing::upstream_state const& state) {
        waiting += state.own.running > 0 && !state.link.is_lost() ? 1 : 0;
    });
    return waiting;
}

} // namespace

bool reaches_upstreams(relay_context const& context)
{
    bool has_upstream = false;
    bool reaches_one = false;
    context.directory.each([&](routing::upstream_state const& state) {
        has_upstream = true;
        reaches_one = reaches_one || !state.link.is_lost();
    });
    return reaches_one || !has_upstream;
}

std::vector<std::uint32_t> lost_links_to_advertise(relay_context const& context)
{
    constexpr std::size_t max_advertised = 64;
    std::vector<std::uint32_t> list;
    context.directory.each([&list](routing::upstream_state const& state) {
        if (state.link.is_lost() && list.size() < max_advertised) {
            list.push_back(routing::upstream_load_key(state.description.id));
        }
    });
    return list;
}

upstream_path path_to_upstream(relay_context const& context,
                               routing::home_regions const& homes,
                               routing::upstream_state const& to,
                               std::uint64_t random_value)
{
    upstream_path path;
    if (!to.link.is_lost()) {
        return path;
    }
    auto const list = tunnel_candidates(context, homes, to);
    path.peer = routing::choose_tunnel(list, random_value);
    // Without another way, the direct one is worth an attempt.
    path.uses_idle_direct = !path.peer || to.link.is_live(context.loop.now());
    path.allows_peer = [list](model::endpoint const& peer) {
        return contains(list, peer);
    };
    return path;
}

void record_connected(relay_context& context, routing::upstream_state& state)
{
    context.reach.record_received();
    if (state.link.record_connected()) {
        state.health = {};
        report_change(context, state.description.service);
    }
}

void record_unreachable(relay_context& context, routing::upstream_state& state)
{
    if (!state.link.record_unreachable(context.loop.now())) {
        return;
    }
    std::string const service = state.description.service;
    report_change(context, service);
    if (auto const upstream = context.directory.find(state.description.id);
        upstream.get() == &state) {
        state.link.record_probe(context.loop.now());
        seek_detour(context, upstream);
    }
    probe_neighbours(context, service);
}

void sweep_paths(relay_context& context)
{
    auto const now = context.loop.now();
    if (context.reach.is_probe_due(waiting_upstreams(context), now)) {
        context.reach.record_probe(now);
        for (auto const& upstream : next_to_probe(context)) {
            if (!upstream->link.is_lost()) {
                probe(context, upstream);
            }
        }
    }
    // Upstreams may have left a service, or come back to it, with lost links.
    context.directory.each_service([&context](std::string const& service) {
        report_change(context, service);
    });
    probe_lost_links(context);
    context.pool.close_idle([&context](routing::upstream_state const& to,
                                       model::endpoint const& peer) {
        return to.link.is_lost()
               && contains(tunnel_candidates(context, {}, to), peer);
    });
}

} // namespace caperjunction::proxy
