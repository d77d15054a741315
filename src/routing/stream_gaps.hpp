#ifndef CAPERJUNCTION_ROUTING_STREAM_GAPS_HPP
#define CAPERJUNCTION_ROUTING_STREAM_GAPS_HPP

#include "model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace caperjunction::routing {

/// Lower bound of the event gaps of one stream. Prompts and slow periods
/// lengthen some gaps of a stream; the shortest ones depend on the engine.
///
/// Thread safety: none; owned by one task.
class stream_gaps
{
public:
    using duration = model::time_point::duration;

    static constexpr std::size_t max_kept = 64;
    static constexpr std::size_t min_measured = 4;

    /// Records that `events` were received `gap` after the previous ones, while
    /// a step of the engine took `step_factor` times as long as without load.
    /// A gap that is impossible is left out.
    ///
    /// \pre !is_full(), and `step_factor` is positive.
    void record(duration gap, std::uint64_t events, double step_factor);

    /// Records that the gap before the last event is left out.
    void skip()
    {
        m_is_last_kept = false;
    }

    bool is_full() const
    {
        return m_kept.size() == max_kept;
    }

    /// Returns the lower bound of the gaps since the last call, in
    /// milliseconds; nothing if they are too few or the shortest ones are not
    /// close to each other.
    std::optional<double> take();

private:
    /// Gaps of events that a delay at this host may have brought together.
    struct merged
    {
        double ms = 0.0;
        double gaps = 0.0;
    };

    std::vector<merged> m_kept;
    /// Events that are received together belong to the gap before them, which
    /// may have been left out.
    bool m_is_last_kept = false;
};

/// Returns how much longer a step of an engine takes than without load, as it
/// generates a token for each running stream. No slots: unknown, returns 1.
double step_factor(std::uint32_t running, std::uint32_t slots);

} // namespace caperjunction::routing

#endif
