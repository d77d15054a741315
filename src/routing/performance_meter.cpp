#include "routing/performance_meter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace caperjunction::routing {
namespace {

/// Weight of one first event. It may have waited behind requests of other
/// hosts.
constexpr double weight = 0.3;
constexpr double min_slowdown = 0.25;
constexpr double max_slowdown = 8.0;
/// Older measurements say nothing about an engine that may have recovered.
constexpr std::chrono::seconds lifetime{4};
/// A recorded gap decays by half in this time.
constexpr double gap_half_life_seconds = 1.0;
/// Ratio of wait to forecast from which a wait indicates a slow upstream.
/// Smaller ratios are within the error of forecasts.
constexpr double min_overdue_ratio = 1.5;

double ratio(model::time_point::duration elapsed, model::milliseconds forecast)
{
    double const expected =
        std::max(1.0, static_cast<double>(forecast.count()));
    return model::seconds(elapsed).count() * 1'000 / expected;
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
    double const measured =
        std::clamp(ratio(now - found->second.sent_at, found->second.forecast),
                   min_slowdown,
                   max_slowdown);
    m_last_ratio = measured;
    m_slowdown += (measured - m_slowdown) * weight;
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
    double const decayed =
        static_cast<double>(m_longest_gap.count())
        * std::exp2(-std::max(age, 0.0) / gap_half_life_seconds);
    return model::milliseconds(std::lround(decayed));
}

double performance_meter::overdue(model::time_point now) const
{
    double max_ratio = 0.0;
    for (auto const& [number, item] : m_waiting) {
        max_ratio =
            std::max(max_ratio, ratio(now - item.sent_at, item.forecast));
    }
    return max_ratio < min_overdue_ratio ? 0.0
                                         : std::min(max_ratio, max_slowdown);
}

std::optional<double>
performance_meter::recent_ratio(model::time_point since,
                                model::time_point now) const
{
    double const overdue_ratio = overdue(now);
    if (overdue_ratio > 0.0) {
        return overdue_ratio;
    }
    bool const is_recent = m_measured_at && *m_measured_at >= since;
    return is_recent ? std::make_optional(m_last_ratio) : std::nullopt;
}

upstream_performance performance_meter::performance(model::time_point now) const
{
    upstream_performance result;
    result.longest_gap = longest_gap(now);
    bool const is_measured = m_measured_at && now - *m_measured_at < lifetime;
    double const overdue_ratio = overdue(now);
    if (is_measured || overdue_ratio > 0.0) {
        result.slowdown =
            std::max(is_measured ? m_slowdown : 0.0, overdue_ratio);
        result.observers = 1;
    }
    return result;
}

} // namespace caperjunction::routing
