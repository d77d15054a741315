#ifndef CAPERJUNCTION_ROUTING_ENGINE_SPEED_HPP
#define CAPERJUNCTION_ROUTING_ENGINE_SPEED_HPP

#include "model/time.hpp"
#include "routing/engine_capacity.hpp"

#include <vector>

namespace caperjunction::routing {

/// Speed class of one start of an engine. It changes only after the event gap
/// has been beyond a threshold for `speed_class_dwell` without interruption,
/// and to slow only after twice that time.
///
/// Thread safety: none; owned by one task.
class engine_speed
{
public:
    static constexpr model::milliseconds speed_class_dwell{2'000};
    /// For which an engine keeps its class without a measurement.
    static constexpr model::milliseconds max_unmeasured{30'000};

    /// Records the event gap without load, in milliseconds, as measured now.
    ///
    /// \pre `gap_ms` is positive.
    void record_gap(double gap_ms, model::time_point now);

    /// Returns the last measured gap; zero if there was none. It counts towards
    /// the reference as long as the engine runs: otherwise the classes of the
    /// others would change when prompts keep streams away from this one.
    double gap_ms() const
    {
        return m_gap_ms;
    }

    /// Returns the class, compared with an engine of `reference_ms`. Must be
    /// called once per digest period, with the same time as `record_gap`: a
    /// class changes only in a period with a measurement.
    ///
    /// \pre `reference_ms` is positive if a gap was recorded.
    speed_class update(double reference_ms, model::time_point now);

private:
    double m_gap_ms = 0.0;
    model::time_point m_measured_at{};
    speed_class m_class = speed_class::typical;
    speed_class m_next = speed_class::typical;
    model::time_point m_next_since{};
};

/// Returns the geometric mean of the gaps, in milliseconds, each limited to a
/// factor of 3 from the median. Zeros are not measured and left out; zero if
/// nothing remains.
double reference_gap_ms(std::vector<double> gaps_ms);

} // namespace caperjunction::routing

#endif
