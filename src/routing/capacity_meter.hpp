#ifndef CAPERJUNCTION_ROUTING_CAPACITY_METER_HPP
#define CAPERJUNCTION_ROUTING_CAPACITY_METER_HPP

#include "model/time.hpp"
#include "routing/engine_readings.hpp"
#include "routing/shortest_gap.hpp"

#include <cstdint>

namespace caperjunction::routing {

/// Time that ended requests occupied their slots: a sum of which older ones
/// count for less.
struct slot_times
{
    double requests = 0.0;
    double ms = 0.0;

    void add(slot_times const& more)
    {
        requests += more.requests;
        ms += more.ms;
    }
};

/// Measures the capacity of an engine from this host's own requests.
///
/// Thread safety: none; owned by one task.
class capacity_meter
{
public:
    using duration = model::time_point::duration;

    /// Records that the engine has prefilled `tokens` in `elapsed`: the time
    /// until a first event without network transit and one typical event gap.
    /// It may be negative, because the gap was shorter than usual; only the sum
    /// is kept positive. A bound on each value would make engines with short
    /// prompts appear slower.
    void record_first_event(std::uint64_t tokens,
                            duration elapsed,
                            model::time_point now);

    /// Records the time between two events of a stream.
    void record_event_gap(model::milliseconds gap, model::time_point now);

    /// Records a lower bound of a stream's event gaps, in milliseconds. While
    /// one is recent (see `shortest_gap`), the readings contain the smallest
    /// one in place of the mean gap.
    void record_lower_bound(double ms, model::time_point now);

    /// Records that a request has ended that occupied a slot for `elapsed`.
    void record_slot_time(duration elapsed, model::time_point now);

    engine_readings readings(model::time_point now) const;
    routing::slot_times slot_times(model::time_point now) const;

private:
    void age(model::time_point now);
    double remaining_share(model::time_point now) const;

    engine_readings m_sums;
    shortest_gap m_shortest_gap;
    routing::slot_times m_slot_times;
    /// As of when the sums are.
    model::time_point m_aged_at{};
};

} // namespace caperjunction::routing

#endif
