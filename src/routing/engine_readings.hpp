#ifndef CAPERJUNCTION_ROUTING_ENGINE_READINGS_HPP
#define CAPERJUNCTION_ROUTING_ENGINE_READINGS_HPP

namespace caperjunction::routing {

/// Measurements of one engine by one or more hosts. Prefills are sums of which
/// older ones count for less; of event gaps, those with the smallest mean are
/// kept. All zero: nothing was measured.
struct engine_readings
{
    /// Prompt tokens read until first events.
    double prompt_tokens = 0.0;
    /// Time that this took, in milliseconds.
    double reading_ms = 0.0;
    /// Gaps between events of streams while the engine read no prompt, and
    /// their time in milliseconds: those with the smallest mean.
    double event_gaps = 0.0;
    double event_gap_ms = 0.0;

    void add(engine_readings const& more)
    {
        prompt_tokens += more.prompt_tokens;
        reading_ms += more.reading_ms;
        add_gaps(more);
    }

    /// Keeps the gaps with the smaller mean. The report of a host may be added
    /// repeatedly.
    void add_gaps(engine_readings const& more)
    {
        bool const is_smaller = more.event_gaps > 0.0
                                && (event_gaps <= 0.0
                                    || more.event_gap_ms * event_gaps
                                           < event_gap_ms * more.event_gaps);
        if (is_smaller) {
            event_gaps = more.event_gaps;
            event_gap_ms = more.event_gap_ms;
        }
    }
};

} // namespace caperjunction::routing

#endif
