#ifndef CAPERJUNCTION_PROXY_RELAY_CONTEXT_HPP
#define CAPERJUNCTION_PROXY_RELAY_CONTEXT_HPP

#include "model/time.hpp"
#include "proxy/connection_report.hpp"
#include "proxy/exchange_report.hpp"
#include "proxy/relay_settings.hpp"
#include "proxy/upstream_pool.hpp"
#include "proxy/wire_names.hpp"
#include "routing/crash_suspects.hpp"
#include "routing/key_lease.hpp"
#include "routing/peer_table.hpp"
#include "routing/picker.hpp"
#include "routing/retry_budget.hpp"
#include "routing/route_table.hpp"
#include "routing/stop_rule.hpp"
#include "routing/upstream_directory.hpp"
#include "runtime/event_loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace caperjunction::proxy {

/// What all requests of a host share.
///
/// Thread safety: none; owned by the loop's task.
struct relay_context
{
    runtime::event_loop& loop;
    wire_names const& names;
    relay_settings settings;
    /// A clock that counts the time that the host was suspended.
    std::function<model::time_point()> boot_now;
    routing::key_lease keys;
    /// Null until a configuration is known.
    std::shared_ptr<routing::route_table const> table;
    routing::store_revisions known;
    routing::upstream_directory directory;
    routing::picker picker;
    upstream_pool pool;
    routing::peer_table peers;
    routing::crash_suspects suspects;
    std::map<std::string, routing::retry_budget> allowances;
    /// Most urgent streams that this host runs, by service.
    std::map<std::string, std::uint32_t> urgent_streams;
    /// Called when a request is tried again, before the next try.
    std::function<void(exchange_report const&)> on_retried;
    /// Called when an upstream's limit begins or ends.
    std::function<void(routing::upstream_state const&)> on_limit_changed;
    /// Called when an upstream names a limit that can't be read.
    std::function<void(routing::upstream_state const&, std::string const&)>
        on_limit_unreadable;
    /// Called once for each request that ended.
    std::function<void(exchange_report const&)> on_ended;
    /// Called once for each caller's connection that ended.
    std::function<void(connection_report const&)> on_connection_ended;
    /// Called when the loop came to its sweep later than it should have, by
    /// so much: it lacks processor time.
    std::function<void(model::milliseconds)> on_loop_late;

    /// Set from the signal to stop: answers close their connections.
    bool is_stopping = false;
    /// Bytes of request bodies that are held.
    std::size_t buffered_bytes = 0;
    model::time_point stop_started_at{};

    relay_context(runtime::event_loop& on,
                  wire_names const& wire,
                  relay_settings const& given,
                  std::function<model::time_point()> boot,
                  routing::upstream_directory::distance_of measure)
        : loop(on)
        , names(wire)
        , settings(given)
        , boot_now(std::move(boot))
        , keys(given.key_lifetime)
        , directory(std::move(measure))
        , picker(directory)
        , pool(on)
        , peers(given.peer_listen, given.data_centre, given.seeds)
    {
    }

    /// Since the signal to stop; negative: there was none.
    model::milliseconds since_stop() const
    {
        return is_stopping ? std::chrono::duration_cast<model::milliseconds>(
                   loop.now() - stop_started_at)
                           : model::milliseconds{-1};
    }

    /// Whether a request that may take `longest` is taken now.
    bool accepts_new_request(model::milliseconds longest) const
    {
        return !is_stopping
               || routing::accepts_new_request(
                   since_stop(), settings.stop_limit, longest);
    }

    /// Most urgent streams of `service` that run, from all hosts.
    std::uint32_t fleet_urgent_streams(std::string const& service) const
    {
        auto const own = urgent_streams.find(service);
        return (own == urgent_streams.end() ? 0 : own->second)
               + peers.load_of(routing::urgent_load_key(service)).load.running;
    }

    /// What this host may spend of the fleet's extra budget at once. Hosts
    /// that are cut off go on sending: the largest fleet ever seen counts,
    /// and a host that has heard nobody yet assumes a large one.
    double retry_burst() const
    {
        constexpr double assumed_hosts = 27.0;
        constexpr double spent_at_once = 0.8;
        bool const is_alone = peers.largest_fleet_seen() < 2;
        double const hosts =
            is_alone ? assumed_hosts
                     : static_cast<double>(peers.largest_fleet_seen());
        return std::max(1.0, settings.retry_extra * spent_at_once / hosts);
    }

    /// The budget of second sends to `service`.
    routing::retry_budget& allowance(std::string const& service)
    {
        double const burst = retry_burst();
        auto& found =
            allowances.try_emplace(service, settings.retry_ratio, burst)
                .first->second;
        found.burst(burst);
        return found;
    }
};

} // namespace caperjunction::proxy

#endif
