#include "bench/policy_bench/telemetry.hpp"

#include <utility>

namespace caperjunction::bench {
namespace {

constexpr std::uint64_t random_stream = 1'000;
constexpr std::uint64_t bytes_per_block = 8;
constexpr std::uint64_t cache_event_bytes = 60;

} // namespace

telemetry::telemetry(deployment const& deployment,
                     std::uint64_t seed,
                     event_queue& queue,
                     network& net,
                     upstream_set& upstreams,
                     deliver to_host)
    : m_deployment(deployment)
    , m_random(seed, random_stream)
    , m_queue(queue)
    , m_network(net)
    , m_upstreams(upstreams)
    , m_deliver(std::move(to_host))
    , m_sequences(upstreams.engine_count())
{
}

void telemetry::start()
{
    for (std::size_t one = 0; one < m_upstreams.engine_count(); ++one) {
        auto const offset = std::chrono::milliseconds{7} * one;
        m_queue.after(offset, [this, one] {
            report(one);
        });
        m_queue.after(offset, [this, one] {
            publish_cache_events(one);
        });
    }
}

void telemetry::stop()
{
    m_stopped = true;
}

void telemetry::lag_more(std::chrono::milliseconds lag)
{
    m_lag = lag;
}

void telemetry::report(std::size_t engine)
{
    if (m_stopped) {
        return;
    }
    if (m_upstreams.up(engine)) {
        fake_engine const& own = m_upstreams.engine(engine);
        decide::engine_report made;
        made.engine = m_upstreams.name(engine);
        made.measured_at = m_queue.now();
        made.running = own.running();
        made.waiting = own.waiting();
        made.kv_used = own.kv_share();
        made.models = m_deployment.upstreams.engines[engine].models;
        auto const lag = min_lag + m_lag
                         + std::chrono::duration_cast<std::chrono::nanoseconds>(
                             additional_lag * m_random.uniform());
        publish(engine, report_bytes, lag, made, 0.0);
    }
    m_queue.after(report_period, [this, engine] {
        report(engine);
    });
}

void telemetry::publish_cache_events(std::size_t engine)
{
    if (m_stopped) {
        return;
    }
    decide::cache_changed made;
    made.engine = m_upstreams.name(engine);
    made.stored = m_upstreams.engine(engine).cache().take_stored();
    made.evicted = m_upstreams.engine(engine).cache().take_evicted();
    std::size_t const blocks = made.stored.size() + made.evicted.size();
    if (blocks > 0) {
        made.sequence = ++m_sequences[engine];
        auto const lag = std::chrono::duration_cast<std::chrono::nanoseconds>(
            (min_lag + additional_lag) * m_random.uniform());
        publish(engine,
                cache_event_bytes + bytes_per_block * blocks,
                lag,
                made,
                lost_share);
    }
    m_queue.after(cache_period, [this, engine] {
        publish_cache_events(engine);
    });
}

void telemetry::publish(std::size_t engine,
                        std::uint64_t bytes,
                        std::chrono::nanoseconds lag,
                        decide::event const& event,
                        double lost)
{
    for (std::size_t host = 0; host < m_deployment.hosts.size(); ++host) {
        if (m_random.uniform() < lost) {
            continue;
        }
        model::host const& to = m_deployment.hosts[host];
        m_network.send(m_upstreams.place_of(engine),
                       m_deployment.place_of(to.region, to.data_centre),
                       bytes,
                       [this, lag, host, event] {
                           m_queue.after(lag, [this, host, event] {
                               m_deliver(host, event);
                           });
                       });
    }
}

} // namespace caperjunction::bench
