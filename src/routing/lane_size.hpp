#ifndef CAPERJUNCTION_ROUTING_LANE_SIZE_HPP
#define CAPERJUNCTION_ROUTING_LANE_SIZE_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace caperjunction::routing {

/// What the number of engines for the most urgent streams depends on.
struct lane_facts
{
    /// Engines of the service.
    std::size_t engines = 0;
    /// Requests that one of them runs at once, on average.
    double slots = 1.0;
    /// Most urgent streams that run there now, from all hosts.
    std::uint32_t urgent_streams = 0;
};

/// How many engines read no long prompts, so that urgent streams don't pause
/// beside them.
///
/// A fixed quarter failed both ways: while long prompts came in bursts, 22 of
/// 90 engines stood almost idle and the others read without pause, and while
/// chats did, the 22 held up to 85 chats in 48 slots with 68 engines half
/// idle.
inline std::size_t lane_size(lane_facts const& facts)
{
    // With fewer, long prompts would have too few engines left.
    constexpr std::size_t least_to_divide = 3;
    // Chats that come at once find an engine before the lane has grown.
    constexpr std::size_t engines_of_one_at_rest = 8;
    // Where there are few engines, the loss of one must leave others to the
    // chats that ran there: with one of 12, callers of 7 hosts got 0.663 of
    // the worth, with 2 0.674, with 3 0.702 (mean of four days' plays).
    constexpr std::size_t spare_at_rest = 3;
    constexpr std::size_t engines_of_one_spare = 4;
    // Long prompts keep some engines, however many chats there are.
    constexpr double largest_share = 0.6;
    // Slots are left for what comes until other hosts have heard of it.
    constexpr double filled = 0.7;
    if (facts.engines < least_to_divide) {
        return 0;
    }
    double const needed =
        facts.urgent_streams / std::max(1.0, facts.slots * filled);
    auto const spare =
        std::min(spare_at_rest, facts.engines / engines_of_one_spare);
    auto const at_rest = std::max(
        {std::size_t{1}, facts.engines / engines_of_one_at_rest, spare});
    auto const most = static_cast<std::size_t>(
        std::floor(static_cast<double>(facts.engines) * largest_share));
    return std::clamp(static_cast<std::size_t>(std::ceil(needed)),
                      at_rest,
                      std::max(at_rest, most));
}

} // namespace caperjunction::routing

#endif
