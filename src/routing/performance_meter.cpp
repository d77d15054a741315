#include "routing/performance_meter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace caperjunction::routing {
namespace {

/// How much one first event says: it may have met a queue of other hosts.
constexpr double weight = 0.3;
constexpr double min_slowdown = 0.25;
constexpr double max_slowdown = 8.0;
/// What was seen longer ago tells nothing of an engine that may have
/// recovered.
constexpr std::chrono::seconds lifetime{4};
/// Pauses fade by half in this time.
constexpr double gap_half_life_seconds = 1.0;
/// A wait tells of slowness when it is this much longer than was forecast:
/// small ones are within the error of forecasts.
constexpr double clearly_overdue = 1.5;

double ratio(model::time_point::duration took, model::milliseconds forecast)
{
    double const expected =
        std::max(1.0, static_cast<double>(forecast.count()));
    return model::seconds(took).count() * 1'000 / expected;
}

} // namespace

performance_meter::ticket performance_meter::begin(model::time_point now,
                                                   model::milliseconds forecast)
{
    m_waiting[++m_next] = {now, forecast};
    return m_next;
}

void performance_meter::end(ticket waiting, model::time_point now)
{
    auto const found = m_waiting.find(waiting);
    if (found == m_waiting.end()) {
        return;
    }
    double const seen =
        std::clamp(ratio(now - found->second.since, found->second.forecast),
                   min_slowdown,
                   max_slowdown);
    m_slowdown += (seen - m_slowdown) * weight;
    m_measured_at = now;
    m_waiting.erase(found);
}

void performance_meter::drop(ticket waiting)
{
    m_waiting.erase(waiting);
}

void performance_meter::record_gap(model::milliseconds gap,
                                   model::time_point now)
{
    if (gap >= longest_gap(now)) {
        m_longest_gap = gap;
        m_gap_recorded_at = now;
    }
}

model::milliseconds performance_meter::longest_gap(model::time_point now) const
{
    double const age = model::seconds(now - m_gap_recorded_at).count();
    double const left =
        static_cast<double>(m_longest_gap.count())
        * std::exp2(-std::max(age, 0.0) / gap_half_life_seconds);
    return model::milliseconds(std::lround(left));
}

double performance_meter::overdue(model::time_point now) const
{
    double most = 0.0;
    for (auto const& [number, item] : m_waiting) {
        most = std::max(most, ratio(now - item.since, item.forecast));
    }
    return most < clearly_overdue ? 0.0 : std::min(most, max_slowdown);
}

upstream_performance performance_meter::performance(model::time_point now) const
{
    upstream_performance made;
    made.longest_gap = longest_gap(now);
    bool const is_measured = m_measured_at && now - *m_measured_at < lifetime;
    double const waits = overdue(now);
    if (is_measured || waits > 0.0) {
        made.slowdown = std::max(is_measured ? m_slowdown : 0.0, waits);
        made.observers = 1;
    }
    return made;
}

} // namespace caperjunction::routing
