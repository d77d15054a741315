#ifndef CAPERJUNCTION_BENCH_FLEET_BENCH_FLEET_SCENARIOS_HPP
#define CAPERJUNCTION_BENCH_FLEET_BENCH_FLEET_SCENARIOS_HPP

#include "bench/fleet_bench/figure.hpp"
#include "bench/fleet_bench/virtual_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperjunction::bench {

struct bench_options
{
    std::uint64_t seed = 1;
    /// Repetitions of each fault or change.
    std::size_t trials = 20;
    /// Size of a load digest in bytes.
    std::size_t digest_bytes = 400;
    /// Number of teams in the list of plans.
    std::size_t teams = 10;
    /// Changes of the list of plans per second in `measure_load`.
    double changes_per_second = 0.0;
};

/// Creates a fleet with production lists in force that has run for ten seconds.
/// It has two regions up to 28 hosts, six above that.
std::unique_ptr<virtual_fleet> make_fleet(std::size_t hosts,
                                          virtual_fleet_settings settings,
                                          bench_options const& options);

/// Measures the time from a crash until the first and until the last host
/// detects it.
void measure_detection(std::size_t hosts,
                       model::milliseconds heartbeat,
                       bench_options const& options,
                       std::vector<figure>& figures);

/// Fault of the store watchers, the hosts that watch the service for others.
enum class watcher_fault : std::uint8_t
{
    none,
    /// The watchers of all regions but one are frozen and not detected yet.
    most_frozen,
    /// No watcher reaches the service; all other hosts can.
    all_cut_off,
};

/// Measures the time from publication until a change is in force on all hosts.
void measure_in_force(std::size_t hosts,
                      watcher_fault fault,
                      bench_options const& options,
                      std::vector<figure>& figures);

/// Measures messages, bytes and processor time per host and second.
void measure_load(std::size_t hosts,
                  bool use_deltas,
                  bench_options const& options,
                  std::vector<figure>& figures);

/// Counts hosts that are considered lost because one host was paused.
void measure_pauses(std::size_t hosts,
                    model::milliseconds heartbeat,
                    model::milliseconds pause,
                    bench_options const& options,
                    std::vector<figure>& figures);

/// Measures how a host behaves after a pause during which another host crashed.
void measure_resume(std::size_t hosts,
                    bool refresh,
                    bench_options const& options,
                    std::vector<figure>& figures);

/// Counts hosts that are considered lost because the route from one host to
/// another is cut.
void measure_broken_routes(std::size_t hosts,
                           bool refute,
                           bench_options const& options,
                           std::vector<figure>& figures);

/// Measures for how long a host is attributed the state of its predecessor with
/// the same name: if the predecessor's last messages arrive late, and if a
/// frozen predecessor resumes while its successor runs.
void measure_replacement(std::size_t hosts,
                         bool generations,
                         bench_options const& options,
                         std::vector<figure>& figures);

} // namespace caperjunction::bench

#endif
