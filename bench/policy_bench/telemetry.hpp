#ifndef CAPERJUNCTION_BENCH_TELEMETRY_HPP
#define CAPERJUNCTION_BENCH_TELEMETRY_HPP

#include "bench/policy_bench/deployment.hpp"
#include "bench/policy_bench/network.hpp"
#include "bench/policy_bench/random_source.hpp"
#include "bench/policy_bench/upstream_set.hpp"
#include "decide/event.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace caperjunction::bench {

/// Telemetry of the engines: delayed load reports, and delayed cache events of
/// which some are lost.
///
/// Thread safety: none.
class telemetry
{
public:
    using deliver = std::function<void(std::size_t host, decide::event const&)>;

    static constexpr std::chrono::milliseconds report_period{500};
    static constexpr std::chrono::milliseconds min_lag{300};
    static constexpr std::chrono::milliseconds additional_lag{700};
    static constexpr std::chrono::milliseconds cache_period{250};
    /// Share of cache events that a host does not receive.
    static constexpr double lost_share = 0.02;
    static constexpr std::uint64_t report_bytes = 200;

    telemetry(deployment const& deployment,
              std::uint64_t seed,
              event_queue& queue,
              network& net,
              upstream_set& upstreams,
              deliver to_host);

    void start();

    /// Ends all reports and events.
    void stop();

    /// Sets the additional delay of load reports.
    void lag_more(std::chrono::milliseconds lag);

private:
    void report(std::size_t engine);
    void publish_cache_events(std::size_t engine);
    void publish(std::size_t engine,
                 std::uint64_t bytes,
                 std::chrono::nanoseconds lag,
                 decide::event const& event,
                 double lost);

    deployment const& m_deployment;
    random_source m_random;
    event_queue& m_queue;
    network& m_network;
    upstream_set& m_upstreams;
    deliver m_deliver;
    std::vector<std::uint64_t> m_sequences;
    std::chrono::milliseconds m_lag{0};
    bool m_stopped = false;
};

} // namespace caperjunction::bench

#endif
