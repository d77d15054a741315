#ifndef CAPERJUNCTION_BENCH_SCENARIO_HPP
#define CAPERJUNCTION_BENCH_SCENARIO_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperjunction::bench {

/// What callers do and what goes wrong in one run. Times are from its start.
struct scenario
{
    using seconds = std::chrono::seconds;

    std::string name;
    /// New requests come this long; the run goes on until all are answered.
    seconds length{120};
    /// The window of whatever is the matter.
    seconds from{30};
    seconds until{60};
    /// Demand over the whole run, as a multiple of the deployment's usual.
    double load = 1.0;
    /// Demand over the whole run, as a multiple of capacity; goes before
    /// `load` if it is set.
    double load_of_capacity = 0.0;
    /// In the window, one class comes this many times as often.
    double burst = 1.0;
    /// In the window, the largest team sends so much more of one class than
    /// all teams together usually do.
    double flood = 0.0;
    /// In the window, one engine's steps take so many times as long, and all
    /// load reports lag further.
    double slowness = 1.0;
    /// A few answers are very long and most short, with the same mean.
    bool mixed_lengths = false;
    /// In the window, one caller sends a request that crashes engines, and
    /// sends it again whenever it fails.
    bool killer = false;
    /// In the window, nothing passes between the regions.
    bool cut = false;
    /// How often a caller that was refused sends again, as it was told to.
    std::uint32_t resends = 2;
    /// How often each host tells the others its load.
    std::chrono::milliseconds digest_period{200};

    /// From here on the tiers' shares are measured: the first answers take a
    /// while, and a long answer's share comes late only because it is long.
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
