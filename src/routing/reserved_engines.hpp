#ifndef CAPERJUNCTION_ROUTING_RESERVED_ENGINES_HPP
#define CAPERJUNCTION_ROUTING_RESERVED_ENGINES_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace caperjunction::routing {

/// What the number of engines for the most urgent streams depends on.
struct reservation_inputs
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
/// A fixed share would stand idle while long prompts come in bursts, and
/// would be overfull while urgent streams do.
inline std::size_t reserved_engine_count(reservation_inputs const& inputs)
{
    // With fewer, long prompts would have too few engines left.
    constexpr std::size_t least_to_divide = 3;
    // Chats that come at once find an engine before the lane has grown.
    constexpr std::size_t engines_of_one_at_rest = 8;
    // Where there are few engines, the loss of one must leave others to the
    // chats that ran there.
    constexpr std::size_t spare_at_rest = 3;
    constexpr std::size_t engines_of_one_spare = 4;
    // Long prompts keep some engines, however many chats there are.
    constexpr double largest_share = 0.6;
    // Slots are left for what comes until other hosts have heard of it.
    constexpr double filled = 0.7;
    if (inputs.engines < least_to_divide) {
        return 0;
    }
    double const needed =
        inputs.urgent_streams / std::max(1.0, inputs.slots * filled);
    auto const spare =
        std::min(spare_at_rest, inputs.engines / engines_of_one_spare);
    auto const at_rest = std::max(
        {std::size_t{1}, inputs.engines / engines_of_one_at_rest, spare});
    auto const most = static_cast<std::size_t>(
        std::floor(static_cast<double>(inputs.engines) * largest_share));
    return std::clamp(static_cast<std::size_t>(std::ceil(needed)),
                      at_rest,
                      std::max(at_rest, most));
}

} // namespace caperjunction::routing

#endif
