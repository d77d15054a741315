#include "program/routed_metrics.hpp"

#include "routing/refusal.hpp"

#include <prometheus/text_serializer.h>

namespace caperjunction::program {
namespace {

prometheus::Histogram::BucketBoundaries const& ratio_buckets()
{
    static prometheus::Histogram::BucketBoundaries const s_buckets{
        0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0};
    return s_buckets;
}

// Bucket bounds in seconds, around the latency targets and deadlines of usual
// routes.
prometheus::Histogram::BucketBoundaries const& seconds_buckets()
{
    static prometheus::Histogram::BucketBoundaries const s_buckets{
        0.01, 0.03, 0.06, 0.12, 0.25, 0.4, 0.6, 1.0, 1.5, 3.0, 6.0, 15.0};
    return s_buckets;
}

} // namespace

routed_metrics::routed_metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_requests(prometheus::BuildCounter()
                     .Name("caperjunction_routed_requests_total")
                     .Help("Requests that ended, by service, outcome, reason")
                     .Register(*m_registry))
    , m_team_tokens(prometheus::BuildCounter()
                        .Name("caperjunction_team_tokens_total")
                        .Help("Prompt tokens of teams, by service and result")
                        .Register(*m_registry))
    , m_sends(prometheus::BuildCounter()
                  .Name("caperjunction_routed_sends_total")
                  .Help("Sends to upstreams, first ones and second ones")
                  .Register(*m_registry))
    , m_withdrawn(prometheus::BuildCounter()
                      .Name("caperjunction_withdrawn_total")
                      .Help("Requests withdrawn before their first event")
                      .Register(*m_registry))
    , m_resumed(prometheus::BuildCounter()
                    .Name("caperjunction_routed_resumed_streams_total")
                    .Help("Streams resumed here or by callers, by outcome")
                    .Register(*m_registry))
    , m_first_byte(prometheus::BuildHistogram()
                       .Name("caperjunction_routed_first_byte_seconds")
                       .Help("From arrival to the first byte, by service")
                       .Register(*m_registry))
    , m_forecast_ratio(
          prometheus::BuildHistogram()
              .Name("caperjunction_routed_forecast_ratio")
              .Help("First byte of the last try against its forecast")
              .Register(*m_registry))
    , m_pause(prometheus::BuildHistogram()
                  .Name("caperjunction_routed_pause_seconds")
                  .Help("Longest pause of each stream, by service")
                  .Register(*m_registry))
    , m_total(prometheus::BuildHistogram()
                  .Name("caperjunction_routed_request_seconds")
                  .Help("From arrival to the end, by service and outcome")
                  .Register(*m_registry))
    , m_connections(
          prometheus::BuildCounter()
              .Name("caperjunction_routed_connections_ended_total")
              .Help("Callers' connections that ended, by whom and during what")
              .Register(*m_registry))
    , m_lost_bytes(prometheus::BuildCounter()
                       .Name("caperjunction_routed_lost_bytes_total")
                       .Help("Bytes of answers not sent, of requests too late")
                       .Register(*m_registry))
    , m_late(prometheus::BuildHistogram()
                 .Name("caperjunction_routed_loop_late_seconds")
                 .Help("Noticeable delays of the loop")
                 .Register(*m_registry))
    , m_fetches(prometheus::BuildHistogram()
                    .Name("caperjunction_routed_peer_list_seconds")
                    .Help("Calls for another host's list, by outcome")
                    .Register(*m_registry))
    , m_fetched_bytes(prometheus::BuildCounter()
                          .Name("caperjunction_routed_peer_list_bytes_total")
                          .Help("Bytes of other hosts' lists, by outcome")
                          .Register(*m_registry))
    , m_host_wait(prometheus::BuildHistogram()
                      .Name("caperjunction_host_wait_seconds")
                      .Help("Waits in the queue of this host, by service")
                      .Register(*m_registry))
    , m_host_waiting(prometheus::BuildGauge()
                         .Name("caperjunction_host_waiting")
                         .Help("Requests in the queue of this host")
                         .Register(*m_registry))
    , m_excess_limit(prometheus::BuildGauge()
                         .Name("caperjunction_excess_limit")
                         .Help("Maximum forecast of excess, of the target")
                         .Register(*m_registry))
    , m_gauges(prometheus::BuildGauge()
                   .Name("caperjunction_routed_state")
                   .Help("What this host believes and does, by part")
                   .Register(*m_registry))
    , m_engine_rates(prometheus::BuildGauge()
                         .Name("caperjunction_engine_tokens_per_ms")
                         .Help("Prompt tokens that an engine prefills per ms")
                         .Register(*m_registry))
    , m_urgent_work(prometheus::BuildGauge()
                        .Name("caperjunction_urgent_tokens_per_second")
                        .Help("Expected prompt tokens of the most urgent "
                              "streams, over all hosts, by service")
                        .Register(*m_registry))
{
}

void routed_metrics::count(proxy::exchange_report const& ended)
{
    std::string const service(ended.service);
    m_requests
        .Add({{"service", service},
              {"outcome", std::string(ended.outcome)},
              {"reason", std::string(ended.reason)}})
        .Increment();
    count_team_tokens(ended);
    if (ended.sent > 0) {
        m_sends.Add({{"service", service}, {"send", "first"}}).Increment();
        m_sends.Add({{"service", service}, {"send", "second"}})
            .Increment(ended.sent - 1);
    }
    if (ended.is_withdrawn) {
        m_withdrawn.Add({{"service", service}}).Increment();
    }
    if (ended.takes_up || ended.resumed > 0) {
        m_resumed
            .Add({{"by", ended.takes_up ? "caller" : "host"},
                  {"outcome", std::string(ended.outcome)}})
            .Increment();
    }
    if (ended.host_wait.count() >= 0) {
        m_host_wait.Add({{"service", service}}, seconds_buckets())
            .Observe(model::seconds(ended.host_wait).count());
    }
    if (ended.first_byte.count() >= 0) {
        m_first_byte.Add({{"service", service}}, seconds_buckets())
            .Observe(model::seconds(ended.first_byte).count());
    }
    if (ended.upstream_wait.count() >= 0 && ended.forecast.count() > 0) {
        m_forecast_ratio.Add({{"service", service}}, ratio_buckets())
            .Observe(model::seconds(ended.upstream_wait)
                     / model::seconds(ended.forecast));
    }
    if (ended.events > 1) {
        m_pause.Add({{"service", service}}, seconds_buckets())
            .Observe(model::seconds(ended.longest_gap).count());
    }
    m_total
        .Add({{"service", service}, {"outcome", std::string(ended.outcome)}},
             seconds_buckets())
        .Observe(model::seconds(ended.total).count());
}

void routed_metrics::count_team_tokens(proxy::exchange_report const& ended)
{
    if (ended.team.empty() || ended.asked_tokens == 0) {
        return;
    }
    auto const over_share =
        routing::to_string(routing::refusal_reason::over_share);
    bool const is_over_share = ended.reason == over_share;
    std::string_view const refused = is_over_share ? over_share : "refused";
    m_team_tokens
        .Add(
            {{"team", team_label(ended.team)},
             {"service", std::string(ended.service)},
             {"result", std::string(ended.is_admitted ? "admitted" : refused)}})
        .Increment(ended.asked_tokens);
}

std::string routed_metrics::team_label(std::string_view team)
{
    constexpr std::size_t max_teams = 64;
    std::lock_guard<std::mutex> const lock(m_teams_mutex);
    if (m_teams.size() < max_teams) {
        m_teams.emplace(team);
    }
    return m_teams.count(team) > 0 ? std::string(team) : "other";
}

void routed_metrics::count(proxy::connection_report const& ended)
{
    m_connections
        .Add({{"by", std::string(proxy::to_string(ended.end))},
              {"during", std::string(ended.activity)}})
        .Increment();
    m_lost_bytes.Add({{"bytes", "unsent"}})
        .Increment(static_cast<double>(ended.unsent_bytes));
    m_lost_bytes.Add({{"bytes", "late"}})
        .Increment(static_cast<double>(ended.late_bytes));
}

void routed_metrics::count(fetch_report const& ended)
{
    std::string const outcome(ended.outcome);
    m_fetches.Add({{"outcome", outcome}}, seconds_buckets())
        .Observe(model::seconds(ended.progress.total).count());
    m_fetched_bytes.Add({{"outcome", outcome}})
        .Increment(static_cast<double>(ended.progress.bytes));
}

void routed_metrics::count_late(model::milliseconds late)
{
    m_late.Add({}, seconds_buckets()).Observe(model::seconds(late).count());
}

void routed_metrics::set_store_state(std::uint64_t config_version,
                                     double config_age_s,
                                     double upstreams)
{
    m_gauges.Add({{"part", "config_version"}})
        .Set(static_cast<double>(config_version));
    m_gauges.Add({{"part", "config_age_seconds"}}).Set(config_age_s);
    m_gauges.Add({{"part", "upstreams"}}).Set(upstreams);
}

void routed_metrics::set_clock_behind(double seconds)
{
    m_gauges.Add({{"part", "clock_behind_seconds"}}).Set(seconds);
}

void routed_metrics::set_work(double callers,
                              double connections,
                              double dropped_lines)
{
    m_gauges.Add({{"part", "callers"}}).Set(callers);
    m_gauges.Add({{"part", "upstream_connections_opened"}}).Set(connections);
    m_gauges.Add({{"part", "log_lines_dropped"}}).Set(dropped_lines);
}

void routed_metrics::set_paths(double lost_links, double tunnels)
{
    m_gauges.Add({{"part", "upstreams_lost"}}).Set(lost_links);
    m_gauges.Add({{"part", "tunnels"}}).Set(tunnels);
}

void routed_metrics::set_streams(double remembered, double evicted)
{
    m_gauges.Add({{"part", "streams_remembered"}}).Set(remembered);
    m_gauges.Add({{"part", "streams_evicted"}}).Set(evicted);
}

void routed_metrics::set_parts(double kept_back, double on_trial)
{
    m_gauges.Add({{"part", "parts_kept_back"}}).Set(kept_back);
    m_gauges.Add({{"part", "parts_on_trial"}}).Set(on_trial);
}

void routed_metrics::set_host_waiting(double waiting)
{
    m_host_waiting.Add({}).Set(waiting);
}

void routed_metrics::set_excess_limit(std::string const& service,
                                      double max_share)
{
    m_excess_limit.Add({{"service", service}}).Set(max_share);
}

void routed_metrics::set_engine_rates(
    std::map<std::string, double> const& tokens_per_ms)
{
    std::lock_guard const lock(m_engines_mutex);
    for (auto item = m_engines.begin(); item != m_engines.end();) {
        if (tokens_per_ms.count(item->first) > 0) {
            ++item;
            continue;
        }
        m_engine_rates.Remove(item->second);
        item = m_engines.erase(item);
    }
    for (auto const& [id, rate] : tokens_per_ms) {
        prometheus::Gauge*& gauge = m_engines[id];
        if (gauge == nullptr) {
            gauge = &m_engine_rates.Add({{"upstream", id}});
        }
        gauge->Set(rate);
    }
}

void routed_metrics::set_urgent_work(std::string const& service,
                                     double tokens_per_second)
{
    m_urgent_work.Add({{"service", service}}).Set(tokens_per_second);
}

std::string routed_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace caperjunction::program
