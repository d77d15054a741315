#ifndef CAPERJUNCTION_BENCH_SCENARIO_HPP
#define CAPERJUNCTION_BENCH_SCENARIO_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::bench {

/// Load and faults of one run. Times are relative to its start.
struct scenario
{
    using seconds = std::chrono::seconds;

    std::string name;
    /// Duration of new requests; the run continues until all are answered.
    seconds length{120};
    /// Time window of the fault or additional load.
    seconds from{30};
    seconds until{60};
    /// Demand over the complete run, as a multiple of the deployment's normal
    /// demand.
    double load = 1.0;
    /// Demand over the complete run, as a multiple of capacity; takes
    /// precedence over `load` if set.
    double load_of_capacity = 0.0;
    /// Factor of the request rate of one class in the window.
    double burst = 1.0;
    /// Additional requests of one class that the largest team sends in the
    /// window, as a multiple of the normal rate of all teams.
    double flood = 0.0;
    /// Factor of the step duration of one engine in the window; all load
    /// reports are delayed further as well.
    double slowdown = 1.0;
    /// A few answers are very long and most are short, with the same mean.
    bool mixed_lengths = false;
    /// At the start of the window, one caller sends a request that crashes
    /// engines, and sends it again whenever it fails.
    bool killer = false;
    /// The link between the regions is cut in the window.
    bool cut = false;
    /// Maximum number of retries of a refused caller after the `Retry-After`.
    std::uint32_t resends = 2;
    /// Interval at which each host sends its load to the others.
    std::chrono::milliseconds digest_period{200};

    /// Returns the start of the measurement of the tiers' shares. The first
    /// answers take a while, and the work of a long answer is delivered late
    /// only because it is long.
    std::chrono::seconds settled() const
    {
        return length / 5;
    }
};

/// \throws model::error if there is no scenario of that name.
scenario make_scenario(std::string_view name);

std::vector<std::string> scenario_names();

} // namespace caperjunction::bench

#endif
