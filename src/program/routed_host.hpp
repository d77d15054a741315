#ifndef CAPERJUNCTION_PROGRAM_ROUTED_HOST_HPP
#define CAPERJUNCTION_PROGRAM_ROUTED_HOST_HPP

#include "net/admin_server.hpp"
#include "program/file_watch.hpp"
#include "program/peer_lists.hpp"
#include "program/routed_metrics.hpp"
#include "program/routed_settings.hpp"
#include "program/store_replica.hpp"
#include "proxy/peer_gossip.hpp"
#include "proxy/relay.hpp"
#include "proxy/relay_context.hpp"
#include "proxy/store_reader.hpp"
#include "proxy/tunnel_server.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/lease_clock.hpp"
#include "runtime/log_output.hpp"

#include <memory>
#include <random>
#include <string_view>
#include <vector>

namespace caperjunction::program {

/// Host process that serves published routes. One event loop on one thread owns
/// the callers, the upstreams, the store readers and the replicated state.
///
/// Thread safety: none.
class routed_host
{
public:
    /// \throws model::error (bad_settings) if an address cannot be bound.
    explicit routed_host(routed_settings const& settings);

    /// Runs until a planned stop has completed.
    int run();

private:
    void serve_peers();
    void broadcast_change(routing::store_revisions const& before);
    proxy::store_hooks reader_hooks();
    void renew_keys(model::time_point as_of);
    void update_store_polling();
    model::milliseconds watch_wait();
    void record_first_read();
    void watch_clock();
    void report_requests();
    void report_upstreams();
    void report_parts();
    static void log_over_share(proxy::over_share_report const& changed);
    void log_retried(proxy::exchange_report const& retried);
    void log_ended(proxy::exchange_report const& ended);
    void log_connection(proxy::connection_report const& ended);
    void log_limit(routing::upstream_state const& state);
    void log_rejection_limit(routing::upstream_state const& state);
    void log_leaving(routing::upstream_state const& state, bool is_own);
    void log_paused(routing::upstream_state const& state,
                    model::milliseconds pause);
    void log_reach(proxy::reach_report const& changed);
    void log_cold(routing::upstream_state const& state,
                  model::milliseconds remaining);
    void log_fetch(fetch_report const& ended);
    void log_store_lost(proxy::store_failure const& failure);
    void plan_stop();
    void reload();
    bool is_ready() const;
    std::string metrics_text();
    void set_engine_rates();
    void watch_signals();

    routed_settings m_settings;
    runtime::event_loop m_loop;
    runtime::lease_clock m_lease_clock;
    runtime::log_output m_log;
    proxy::wire_names m_names;
    proxy::store_codec m_codec;
    proxy::relay_context m_context;
    routed_metrics m_metrics;
    store_replica m_replica;
    peer_lists m_lists;
    proxy::relay m_relay;
    net::admin_server m_admin;
    std::unique_ptr<net::admin_server> m_metrics_server;
    std::vector<std::unique_ptr<proxy::store_reader>> m_readers;
    std::unique_ptr<proxy::peer_gossip> m_peers;
    std::unique_ptr<net::admin_server> m_peer_server;
    std::unique_ptr<proxy::tunnel_server> m_tunnels;
    file_watch m_settings_file;
    std::minstd_rand m_random{std::random_device{}()};
    bool m_has_read = false;
};

/// Runs a host until it is stopped. Returns the process's exit status.
int serve_routes(routed_settings const& settings);

} // namespace caperjunction::program

#endif
