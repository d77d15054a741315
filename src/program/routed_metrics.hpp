#ifndef CAPERJUNCTION_PROGRAM_ROUTED_METRICS_HPP
#define CAPERJUNCTION_PROGRAM_ROUTED_METRICS_HPP

#include "program/peer_fetcher.hpp"
#include "proxy/connection_report.hpp"
#include "proxy/exchange_report.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace caperjunction::program {

/// Metrics of a host that serves published routes. The values of all labels
/// come from the configuration or from fixed sets.
///
/// Thread safety: all methods may be called by any thread.
class routed_metrics
{
public:
    routed_metrics();

    void count(proxy::exchange_report const& ended);
    void count(proxy::connection_report const& ended);
    void count(fetch_report const& ended);
    /// Records a delay of the event loop.
    void count_late(model::milliseconds late);
    void set_store_state(std::uint64_t config_version,
                         double config_age_s,
                         double upstreams);
    /// `seconds`: by how much the clock of leases has fallen behind in total.
    void set_clock_behind(double seconds);
    void set_work(double callers, double connections, double dropped_lines);
    /// `tunnels`: connections of other hosts that lead through this one.
    void set_paths(double lost_links, double tunnels);
    /// `remembered`: streams whose software is known here; `evicted`: those
    /// that were forgotten because there were too many.
    void set_streams(double remembered, double evicted);

    /// `kept_back`: parts of prompts that are kept from upstreams; `on_trial`:
    /// those of which one request at a time runs.
    void set_parts(double kept_back, double on_trial);

    /// `waiting`: requests in the queue of this host.
    void set_host_waiting(double waiting);

    /// `max_share`: maximum forecast of excess as a share of the target.
    void set_excess_limit(std::string const& service, double max_share);

    /// Sets the prompt tokens per millisecond of engines by their ids, and
    /// removes engines that are not listed.
    void set_engine_rates(std::map<std::string, double> const& tokens_per_ms);

    /// `tokens_per_second`: expected prompt tokens of the most urgent streams,
    /// over all hosts.
    void set_urgent_work(std::string const& service, double tokens_per_second);

    /// Returns the metrics in the Prometheus text format.
    std::string text() const;

private:
    void count_team_tokens(proxy::exchange_report const& ended);
    /// Returns the label of a team, `other` if there are too many.
    std::string team_label(std::string_view team);

    std::mutex m_teams_mutex;
    /// Teams with a label of their own.
    std::set<std::string, std::less<>> m_teams;
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_requests;
    prometheus::Family<prometheus::Counter>& m_team_tokens;
    prometheus::Family<prometheus::Counter>& m_sends;
    prometheus::Family<prometheus::Counter>& m_withdrawn;
    prometheus::Family<prometheus::Counter>& m_resumed;
    prometheus::Family<prometheus::Histogram>& m_first_byte;
    prometheus::Family<prometheus::Histogram>& m_forecast_ratio;
    prometheus::Family<prometheus::Histogram>& m_pause;
    prometheus::Family<prometheus::Histogram>& m_total;
    prometheus::Family<prometheus::Counter>& m_connections;
    prometheus::Family<prometheus::Counter>& m_lost_bytes;
    prometheus::Family<prometheus::Histogram>& m_late;
    prometheus::Family<prometheus::Histogram>& m_fetches;
    prometheus::Family<prometheus::Counter>& m_fetched_bytes;
    prometheus::Family<prometheus::Histogram>& m_host_wait;
    prometheus::Family<prometheus::Gauge>& m_host_waiting;
    prometheus::Family<prometheus::Gauge>& m_excess_limit;
    prometheus::Family<prometheus::Gauge>& m_gauges;
    prometheus::Family<prometheus::Gauge>& m_engine_rates;
    prometheus::Family<prometheus::Gauge>& m_urgent_work;
    std::mutex m_engines_mutex;
    std::map<std::string, prometheus::Gauge*> m_engines;
};

} // namespace caperjunction::program

#endif
