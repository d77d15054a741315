#include "routing/capacity_meter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace caperjunction::routing {
namespace {

constexpr double half_life_seconds = 4.0;
/// Number of gaps that a lower bound counts as: above each minimum of measured
/// gaps.
constexpr double gaps_of_bound = 100.0;
/// Time of all prefills in a sum, at least.
constexpr double min_reading_ms = 1.0;

double milliseconds_of(model::time_point::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

} // namespace

void capacity_meter::record_first_event(std::uint64_t tokens,
                                        duration elapsed,
                                        model::time_point now)
{
    age(now);
    m_sums.prompt_tokens += static_cast<double>(tokens);
    m_sums.reading_ms += milliseconds_of(elapsed);
}

void capacity_meter::record_event_gap(model::milliseconds gap,
                                      model::time_point now)
{
    age(now);
    m_sums.event_gaps += 1.0;
    m_sums.event_gap_ms += static_cast<double>(gap.count());
}

void capacity_meter::record_lower_bound(double ms, model::time_point now)
{
    m_shortest_gap.record(ms, now);
}

void capacity_meter::record_slot_time(duration elapsed, model::time_point now)
{
    age(now);
    m_slot_times.add({1.0, milliseconds_of(elapsed)});
}

engine_readings capacity_meter::readings(model::time_point now) const
{
    double const share = remaining_share(now);
    engine_readings result;
    result.prompt_tokens = m_sums.prompt_tokens * share;
    result.event_gaps = m_sums.event_gaps * share;
    result.event_gap_ms = m_sums.event_gap_ms * share;
    if (double const shortest = m_shortest_gap.ms(now); shortest > 0.0) {
        result.event_gaps = gaps_of_bound;
        result.event_gap_ms = gaps_of_bound * shortest;
    }
    if (result.prompt_tokens > 0.0) {
        result.reading_ms = std::max(min_reading_ms, m_sums.reading_ms * share);
    }
    return result;
}

slot_times capacity_meter::slot_times(model::time_point now) const
{
    double const share = remaining_share(now);
    return {m_slot_times.requests * share, m_slot_times.ms * share};
}

void capacity_meter::age(model::time_point now)
{
    double const share = remaining_share(now);
    m_sums.prompt_tokens *= share;
    m_sums.reading_ms *= share;
    m_sums.event_gaps *= share;
    m_sums.event_gap_ms *= share;
    m_slot_times.requests *= share;
    m_slot_times.ms *= share;
    m_aged_at = std::max(m_aged_at, now);
}

double capacity_meter::remaining_share(model::time_point now) const
{
    double const age = model::seconds(now - m_aged_at).count();
    return std::exp2(-std::max(age, 0.0) / half_life_seconds);
}

} // namespace caperjunction::routing
