#ifndef CAPERJUNCTION_PROXY_RELAY_CONTEXT_HPP
#define CAPERJUNCTION_PROXY_RELAY_CONTEXT_HPP

#include "model/time.hpp"
#include "proxy/broken_attempt_report.hpp"
#include "proxy/connection_report.hpp"
#include "proxy/exchange_report.hpp"
#include "proxy/host_queue_rounds.hpp"
#include "proxy/origin_codec.hpp"
#include "proxy/part_codec.hpp"
#include "proxy/reach_report.hpp"
#include "proxy/relay_settings.hpp"
#include "proxy/team_share_state.hpp"
#include "proxy/unanswered_attempts.hpp"
#include "proxy/upstream_pool.hpp"
#include "proxy/wire_names.hpp"
#include "routing/key_lease.hpp"
#include "routing/peer_table.hpp"
#include "routing/picker.hpp"
#include "routing/poison_parts.hpp"
#include "routing/rank_loads.hpp"
#include "routing/retry_budget.hpp"
#include "routing/route_table.hpp"
#include "routing/software_history.hpp"
#include "routing/stop_rule.hpp"
#include "routing/stream_origins.hpp"
#include "routing/upstream_directory.hpp"
#include "routing/upstream_reach.hpp"
#include "routing/urgent_demand_table.hpp"
#include "runtime/event_loop.hpp"

#include <xxhash.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caperjunction::proxy {

/// An upstream that has broken answers off.
struct broken_upstream
{
    std::string id;
    std::string service;
    routing::upstream_crash crash;
    /// Parts on trial there.
    std::vector<routing::shared_part> tried;
    /// It refuses connections; until that is known, it may have broken off the
    /// answers alone.
    bool has_crashed = false;
};

/// State shared by all requests of a host.
///
/// Thread safety: none; owned by the loop's task.
struct relay_context
{
    runtime::event_loop& loop;
    wire_names const& names;
    relay_settings settings;
    /// Clock of leases; it includes the time during which the host was
    /// suspended.
    std::function<model::time_point()> lease_now;
    routing::key_lease keys;
    /// Null until a configuration has been received.
    std::shared_ptr<routing::route_table const> table;
    routing::store_revisions known;
    routing::upstream_directory directory;
    routing::picker picker;
    upstream_pool pool;
    routing::peer_table peers;
    routing::upstream_reach reach;
    /// Services of which this host has lost links, and since when.
    std::map<std::string, model::time_point> lost_services;
    /// Until when tunnels at an address, or those to one upstream, are not used
    /// because one failed.
    std::map<std::string, model::time_point> failed_tunnels;
    /// Selects the upstreams of the next probe.
    std::size_t next_probe = 0;
    /// Connections of other hosts to upstreams that lead through this host.
    std::size_t open_tunnels = 0;
    routing::poison_parts parts;
    /// By start, as `routing::start_key`.
    std::map<std::uint64_t, broken_upstream> broken_upstreams;
    unanswered_attempts unanswered;
    /// Tells other hosts of parts; null: there are none.
    std::function<void(part_message const&)> tell_parts;
    routing::software_history software;
    routing::stream_origins origins;
    /// Since when another host has a newer list of upstreams.
    std::optional<model::time_point> list_behind_since;
    /// Tells other hosts which software began a stream; null: there are none.
    std::function<void(routing::stream_origin const&)> tell_origin;
    /// Asks other hosts for a stream, given what is known here, and calls back
    /// with its software or with nothing; null: there are none.
    std::function<void(origin_question const&,
                       routing::origin_claims const&,
                       std::function<void(std::optional<routing::software>)>)>
        ask_origin;
    std::map<std::string, routing::retry_budget> retry_budgets;
    routing::urgent_demand_table urgent_demand;
    /// Prompts by urgency over all hosts, by service; empty without
    /// `forecast_by_urgency`.
    std::map<std::string, routing::rank_loads, std::less<>> rank_loads;
    team_share_state team_shares;
    host_queue_rounds host_queue;
    /// Called when an upstream breaks an attempt off.
    std::function<void(broken_attempt_report const&)> on_attempt_broken;
    /// Called when an upstream that had requests of this host has crashed.
    std::function<void(broken_upstream const&)> on_crashed;
    /// Called when a crash passed to `on_crashed` is refuted: another host has
    /// connected to the upstream.
    std::function<void(broken_upstream const&)> on_crash_refuted;
    /// Called when a request is sent of which only one at a time runs.
    std::function<void(std::string_view id,
                       std::vector<routing::shared_part> const& parts)>
        on_trial;
    /// Called when a request is retried, before the next attempt.
    std::function<void(exchange_report const&)> on_retried;
    /// Called when the first link to an upstream of a service is lost, and when
    /// all of them are regained.
    std::function<void(reach_report const&)> on_reach_changed;
    /// Called when an upstream's request limit begins or ends.
    std::function<void(routing::upstream_state const&)> on_limit_changed;
    /// Called when the rejections of an upstream begin or cease to be limited.
    std::function<void(routing::upstream_state const&)>
        on_rejection_limit_changed;
    /// Called when an upstream sends a request limit that can't be parsed.
    std::function<void(routing::upstream_state const&, std::string const&)>
        on_limit_unreadable;
    /// Called when an upstream is found to be leaving; `is_own`: by an answer
    /// to this host.
    std::function<void(routing::upstream_state const&, bool is_own)> on_leaving;
    /// Called when an upstream begins to want no requests from this host, with
    /// the time for which it does.
    std::function<void(routing::upstream_state const&, model::milliseconds)>
        on_paused;
    /// Called when an upstream sends a header with a value that can't be
    /// parsed.
    std::function<void(routing::upstream_state const&,
                       std::string const& header,
                       std::string const& value)>
        on_notice_unreadable;
    /// Called when an engine is found to be cold, with the time for which it
    /// will be.
    std::function<void(routing::upstream_state const&, model::milliseconds)>
        on_cold;
    /// Called when an engine changes its speed class, with the event gap that
    /// classes refer to, in milliseconds.
    std::function<void(routing::upstream_state const&, double reference_ms)>
        on_speed_changed;
    /// Called once for each request when it has ended.
    std::function<void(exchange_report const&)> on_ended;
    /// Called once for each caller's connection when it has ended.
    std::function<void(connection_report const&)> on_connection_ended;
    /// Called with the delay when the loop runs its sweep later than scheduled.
    /// It then lacks processor time.
    std::function<void(model::milliseconds)> on_loop_late;

    /// Set from the stop signal on; answers then close their connections.
    bool is_stopping = false;
    /// Bytes of request bodies that are buffered.
    std::size_t buffered_bytes = 0;
    model::time_point stop_started_at{};

    relay_context(runtime::event_loop& on,
                  wire_names const& wire,
                  relay_settings const& given,
                  std::function<model::time_point()> lease_clock,
                  routing::upstream_directory::location_of locate)
        : loop(on)
        , names(wire)
        , settings(given)
        , lease_now(std::move(lease_clock))
        , keys(given.key_lifetime)
        , directory(std::move(locate))
        , picker(directory)
        , pool(on)
        , peers(given.peer_listen, given.data_centre, given.seeds)
        , host_queue(on)
    {
    }

    /// Returns the time since the stop signal; negative if there was none.
    model::milliseconds since_stop() const
    {
        return is_stopping ? std::chrono::duration_cast<model::milliseconds>(
                   loop.now() - stop_started_at)
                           : model::milliseconds{-1};
    }

    /// Returns whether the configuration and the list of upstreams, which may
    /// be empty, have been received. A host that starts gets them one after the
    /// other.
    bool has_lists() const
    {
        return table != nullptr && known.upstreams.is_set();
    }

    /// Returns whether a request that may take up to `max_duration` is accepted
    /// now.
    bool accepts_new_request(model::milliseconds max_duration) const
    {
        return !is_stopping
               || routing::accepts_new_request(
                   since_stop(), settings.stop_limit, max_duration);
    }

    /// Returns what selects the subset of engines of this host: its address for
    /// peers, which stays the same over a restart; nothing without one.
    std::optional<std::uint64_t> subset_key() const
    {
        model::endpoint const& at = settings.peer_listen;
        return at.port == 0 ? std::nullopt
                            : std::optional(XXH3_64bits_withSeed(
                                at.address.data(), at.address.size(), at.port));
    }

    /// Returns whether this host shares limits of an upstream of `service`.
    bool shares_limits_of(std::string const& service) const
    {
        auto const& all = directory.of_service(service);
        return std::any_of(all.begin(), all.end(), [this](auto const& item) {
            return share_of(*item).participates;
        });
    }

    /// Returns this host's share of a limit of `state`.
    routing::limit_share share_of(routing::upstream_state const& state) const
    {
        return peers.limit_share_for(
            routing::upstream_load_key(state.description.id),
            state.where.network_distance
                == routing::distance::same_data_centre);
    }

    /// Returns this host's share of the fleet's burst of retries. Hosts that
    /// are partitioned from each other keep sending, so the share is computed
    /// from the largest fleet ever seen. A host that has received no digest yet
    /// assumes 27 hosts.
    double retry_burst() const
    {
        constexpr double assumed_hosts = 27.0;
        constexpr double burst_share = 0.8;
        bool const is_alone = peers.largest_fleet_seen() < 2;
        double const hosts =
            is_alone ? assumed_hosts
                     : static_cast<double>(peers.largest_fleet_seen());
        return std::max(1.0, settings.retry_extra * burst_share / hosts);
    }

    /// Returns the retry budget for `service`.
    routing::retry_budget& retry_budget_for(std::string const& service)
    {
        double const burst = retry_burst();
        auto& budget =
            retry_budgets.try_emplace(service, settings.retry_ratio, burst)
                .first->second;
        budget.burst(burst);
        return budget;
    }
};

} // namespace caperjunction::proxy

#endif
