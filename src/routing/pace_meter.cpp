#include "routing/pace_meter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace caperjunction::routing {
namespace {

/// How much one first event says: it may have met a queue of other hosts.
constexpr double weight = 0.3;
constexpr double least_slowness = 0.25;
constexpr double most_slowness = 8.0;
/// What was seen longer ago tells nothing of an engine that may have
/// recovered.
constexpr std::chrono::seconds lifetime{4};
/// Pauses fade by half in this time.
constexpr double pause_half_life_seconds = 1.0;
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

pace_meter::ticket pace_meter::begin(model::time_point now,
                                     model::milliseconds forecast)
{
    m_waiting[++m_next] = {now, forecast};
    return m_next;
}

void pace_meter::end(ticket waiting, model::time_point now)
{
    auto const found = m_waiting.find(waiting);
    if (found == m_waiting.end()) {
        return;
    }
    double const seen =
        std::clamp(ratio(now - found->second.since, found->second.forecast),
                   least_slowness,
                   most_slowness);
    m_slowness += (seen - m_slowness) * weight;
    m_measured_at = now;
    m_waiting.erase(found);
}

void pace_meter::drop(ticket waiting)
{
    m_waiting.erase(waiting);
}

void pace_meter::note_pause(model::milliseconds pause, model::time_point now)
{
    if (pause >= this->pause(now)) {
        m_pause = pause;
        m_paused_at = now;
    }
}

model::milliseconds pace_meter::pause(model::time_point now) const
{
    double const age = model::seconds(now - m_paused_at).count();
    double const left =
        static_cast<double>(m_pause.count())
        * std::exp2(-std::max(age, 0.0) / pause_half_life_seconds);
    return model::milliseconds(std::lround(left));
}

double pace_meter::overdue(model::time_point now) const
{
    double most = 0.0;
    for (auto const& [number, item] : m_waiting) {
        most = std::max(most, ratio(now - item.since, item.forecast));
    }
    return most < clearly_overdue ? 0.0 : std::min(most, most_slowness);
}

upstream_pace pace_meter::pace(model::time_point now) const
{
    upstream_pace made;
    made.pause = pause(now);
    bool const is_measured = m_measured_at && now - *m_measured_at < lifetime;
    double const waits = overdue(now);
    if (is_measured || waits > 0.0) {
        made.slowness = std::max(is_measured ? m_slowness : 0.0, waits);
        made.voters = 1;
    }
    return made;
}

} // namespace caperjunction::routing
