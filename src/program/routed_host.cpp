#include "program/routed_host.hpp"

#include "model/error.hpp"
#include "platform/platform.hpp"
#include "program/build_version.hpp"
#include "program/clock_log.hpp"
#include "program/flags.hpp"
#include "program/routed_flags.hpp"
#include "program/settings_file.hpp"
#include "runtime/clock_source.hpp"
#include "runtime/log_line.hpp"
#include "runtime/signal_time.hpp"

#include <absl/flags/flag.h>
#include <unistd.h>

#include <csignal>
#include <map>
#include <string>
#include <utility>

namespace caperjunction::program {
namespace {

/// Poll interval of the settings file, which may change without a signal.
constexpr model::milliseconds settings_period{1'000};

routing::upstream_directory::location_of
locations_from(routed_settings const& settings)
{
    using routing::distance;
    return [settings](std::string const& data_centre) -> routing::location {
        if (data_centre == settings.data_centre) {
            return {distance::same_data_centre, settings.region};
        }
        auto const found = settings.regions.find(data_centre);
        if (found == settings.regions.end()) {
            return {distance::other_region, ""};
        }
        return {found->second == settings.region ? distance::same_region
                                                 : distance::other_region,
                found->second};
    };
}

} // namespace

routed_host::routed_host(routed_settings const& settings)
    : m_settings(settings)
    , m_lease_clock(m_loop.clock(),
                    {runtime::boot_clock(), runtime::time_of_day()})
    , m_log(m_loop, STDOUT_FILENO)
    , m_names(platform::wire_names())
    , m_codec(platform::store_codec())
    , m_context(
          m_loop,
          m_names,
          m_settings.relay,
          [this] {
              return m_lease_clock.now();
          },
          locations_from(m_settings))
    , m_replica(m_context, m_codec)
    , m_lists(m_context,
              m_replica,
              {[this](routing::store_revisions const& before) {
                   broadcast_change(before);
                   if (m_context.has_lists()) {
                       record_first_read();
                   }
               },
               [this](fetch_report const& ended) {
                   log_fetch(ended);
                   m_metrics.count(ended);
               }})
    , m_relay(m_context)
    , m_admin(m_loop, m_settings.admin_listen)
    , m_settings_file(absl::GetFlag(FLAGS_config))
{
    watch_clock();
    m_loop.every(settings_period, [this] {
        if (m_settings_file.has_changed()) {
            reload();
        }
    });
    report_requests();
    m_admin.serve(m_names.readiness_path, [this](std::string const&) {
        return is_ready() ? net::admin_answer{200, "text/plain", "ready\n"}
                          : net::admin_answer{503, "text/plain", "not ready\n"};
    });
    if (m_settings.metrics_listen.port != 0) {
        m_metrics_server = std::make_unique<net::admin_server>(
            m_loop, m_settings.metrics_listen);
        m_metrics_server->serve("/metrics", [this](std::string const&) {
            return net::admin_answer{
                200, "text/plain; version=0.0.4", metrics_text()};
        });
    }
    if (m_settings.relay.peer_listen.port != 0) {
        serve_peers();
    }
    if (m_settings.relay.tunnel_listen.port != 0) {
        m_tunnels = std::make_unique<proxy::tunnel_server>(m_context);
    }
    for (std::string const& prefix : m_codec.prefixes) {
        m_readers.push_back(std::make_unique<proxy::store_reader>(
            m_loop, m_settings.platform, m_codec, prefix, reader_hooks()));
        // A host with peers doesn't know yet whether it watches the store for
        // them: `update_store_polling` decides that soon.
        m_readers.back()->set_watching(!m_peers);
    }
}

void routed_host::watch_clock()
{
    auto hooks = log_clock_faults(m_lease_clock.source());
    hooks.on_lost = [this, log = std::move(hooks.on_lost)] {
        m_context.keys.clock_lost();
        log();
    };
    hooks.on_regained = [this, log = std::move(hooks.on_regained)] {
        m_context.keys.clock_regained();
        log();
    };
    m_lease_clock.set_hooks(std::move(hooks));
}

bool routed_host::is_ready() const
{
    return m_has_read && m_context.table && !m_relay.is_stopping();
}

int routed_host::run()
{
    runtime::log_line("started")
        .field("build", build_version())
        .field("clock", m_lease_clock.source())
        .field("host", m_settings.host_name)
        .field("data_centre", m_settings.data_centre)
        .field("callers_port", m_relay.port())
        .field("key_lifetime_ms", m_settings.relay.key_lifetime.count())
        .field("retry_ratio", m_settings.relay.retry_ratio)
        .field("stop_limit_ms", m_settings.relay.stop_limit.count());
    std::signal(SIGPIPE, SIG_IGN);
    watch_signals();
    for (auto const& reader : m_readers) {
        reader->start(watch_wait(), m_context.lease_now);
    }
    m_loop.run();
    runtime::log_line("stopped").field("callers", m_relay.callers());
    return 0;
}

void routed_host::watch_signals()
{
    m_loop.on_signal(SIGTERM, [this] {
        plan_stop();
    });
    runtime::record_signal_time(SIGTERM);
    m_loop.on_signal(SIGHUP, [this] {
        reload();
    });
}

void routed_host::plan_stop()
{
    auto const signalled = runtime::first_signal_time(m_loop.now());
    runtime::log_line("stopping")
        .field("callers", m_relay.callers())
        .field("noticed_after_ms",
               std::chrono::duration_cast<model::milliseconds>(m_loop.now()
                                                               - signalled)
                   .count());
    if (m_peers) {
        m_peers->hand_over_origins();
    }
    m_relay.plan_stop(signalled, [this] {
        m_loop.stop();
    });
}

void routed_host::reload()
{
    try {
        std::string const path = absl::GetFlag(FLAGS_config);
        if (!path.empty()) {
            apply_settings_file(path);
        }
        routed_settings const read = load_routed_settings();
        m_context.settings.retry_ratio = read.relay.retry_ratio;
        m_context.settings.retry_extra = read.relay.retry_extra;
        m_context.settings.stop_limit = read.relay.stop_limit;
        m_context.keys.lifetime(read.relay.key_lifetime);
        m_context.peers.seeds(read.relay.seeds);
        runtime::log_line("reloaded")
            .field("key_lifetime_ms", read.relay.key_lifetime.count());
    } catch (model::error const& failure) {
        // The current settings stay in force.
        runtime::log_line("reload_refused")
            .field("message", failure.what())
            .field("remedy", failure.remedy());
    }
}

void routed_host::record_first_read()
{
    if (!std::exchange(m_has_read, true)) {
        runtime::log_line("ready")
            .field("upstreams", m_context.directory.size())
            .field("config_version", m_replica.config_version());
    }
}

std::string routed_host::metrics_text()
{
    m_metrics.set_store_state(
        m_replica.config_version(),
        model::seconds(m_context.keys.age(m_context.lease_now())).count(),
        static_cast<double>(m_context.directory.size()));
    m_metrics.set_clock_behind(m_lease_clock.total_behind().count());
    m_metrics.set_work(static_cast<double>(m_relay.callers()),
                       static_cast<double>(m_context.pool.connections_opened()),
                       static_cast<double>(m_log.dropped()));
    double lost_links = 0.0;
    m_context.directory.each([&lost_links](routing::upstream_state const& it) {
        lost_links += it.link.is_lost() ? 1.0 : 0.0;
    });
    m_metrics.set_paths(lost_links,
                        static_cast<double>(m_context.open_tunnels));
    m_metrics.set_streams(static_cast<double>(m_context.origins.size()),
                          static_cast<double>(m_context.origins.evicted()));
    m_metrics.set_parts(static_cast<double>(m_context.parts.verdicts().size()),
                        static_cast<double>(m_context.parts.parts_on_trial()));
    m_metrics.set_host_waiting(
        static_cast<double>(m_context.host_queue.queue().size()));
    for (auto const& [service, limit] : m_context.team_shares.excess_limits) {
        m_metrics.set_excess_limit(service, limit.max_share());
    }
    set_engine_rates();
    if (m_context.settings.reserve_by_work) {
        m_context.directory.each_service([this](std::string const& service) {
            m_metrics.set_urgent_work(
                service,
                m_context.urgent_demand.expected_tokens_per_second(service));
        });
    }
    return m_metrics.text();
}

void routed_host::set_engine_rates()
{
    std::map<std::string, double> tokens_per_ms;
    m_context.directory.each([&](routing::upstream_state const& it) {
        auto const* const service =
            m_context.table == nullptr
                ? nullptr
                : m_context.table->find_service(it.description.service);
        if (service != nullptr && service->slots > 0) {
            tokens_per_ms[it.description.id] = it.capacity.tokens_per_ms;
        }
    });
    m_metrics.set_engine_rates(tokens_per_ms);
}

int serve_routes(routed_settings const& settings)
{
    routed_host host(settings);
    return host.run();
}

} // namespace caperjunction::program
