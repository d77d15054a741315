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
    /// Bytes of a load digest.
    std::size_t digest_bytes = 400;
    /// Teams in the list of plans.
    std::size_t teams = 10;
    /// Changes of the list of plans a second, where a load is measured.
    double changes_per_second = 0.0;
};

/// A fleet of so many hosts, with real lists in force, up for ten seconds.
/// Two regions up to 28 hosts, six above.
std::unique_ptr<virtual_fleet> make_fleet(std::size_t hosts,
                                          virtual_fleet_settings settings,
                                          bench_options const& options);

/// From a crash until the first, and until the last, host knows of it.
void measure_detection(std::size_t hosts,
                       model::milliseconds heartbeat,
                       bench_options const& options,
                       std::vector<figure>& figures);

/// What has just happened to the hosts that watch the service.
enum class watcher_fault : std::uint8_t
{
    none,
    /// Those of all regions but one were frozen, and nobody knows it yet.
    most_frozen,
    /// None of them reaches the service; all other hosts could.
    all_cut_off,
};

/// From publishing until the change is in force on every host.
void measure_in_force(std::size_t hosts,
                      watcher_fault fault,
                      bench_options const& options,
                      std::vector<figure>& figures);

/// Messages, bytes and processor time of one host a second.
void measure_load(std::size_t hosts,
                  bool splices,
                  bench_options const& options,
                  std::vector<figure>& figures);

/// Hosts taken for lost because one was paused.
void measure_pauses(std::size_t hosts,
                    model::milliseconds heartbeat,
                    model::milliseconds pause,
                    bench_options const& options,
                    std::vector<figure>& figures);

/// What a host does that slept while another one died.
void measure_wake(std::size_t hosts,
                  bool refresh,
                  bench_options const& options,
                  std::vector<figure>& figures);

/// Hosts taken for lost because routes to single hosts were cut.
void measure_broken_routes(std::size_t hosts,
                           bool refute,
                           bench_options const& options,
                           std::vector<figure>& figures);

/// Time for which a host is held for what its predecessor under the same
/// name was: last words that are read late, and a frozen process that goes on
/// beside its successor.
void measure_replacement(std::size_t hosts,
                         bool generations,
                         bench_options const& options,
                         std::vector<figure>& figures);

} // namespace caperjunction::bench

#endif
