#include "routing/engine_speed.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace caperjunction::routing {
namespace {

/// Limits the weight of an engine with implausible measurements.
constexpr double max_ratio_to_median = 3.0;
/// Longer than several slow periods in a row.
constexpr model::milliseconds slow_class_dwell =
    engine_speed::speed_class_dwell * 2;

/// Reports of other hosts may be without an engine for some digest periods.
constexpr model::milliseconds max_gap_age{1'000};

} // namespace

void engine_speed::record_gap(double gap_ms, model::time_point now)
{
    m_gap_ms = gap_ms;
    m_measured_at = now;
}

speed_class engine_speed::update(double reference_ms, model::time_point now)
{
    bool const is_measured =
        m_gap_ms > 0.0 && now - m_measured_at <= max_gap_age;
    if (!is_measured) {
        m_next = m_class;
        if (now - m_measured_at > max_unmeasured) {
            m_class = speed_class::typical;
        }
        return m_class;
    }
    // Gaps are inverse to rates.
    speed_class const next = next_speed_class(m_class, reference_ms, m_gap_ms);
    if (next == m_class || next != m_next) {
        m_next = next;
        m_next_since = now;
    }
    auto const dwell = m_next == speed_class::slow
                           ? slow_class_dwell
                           : engine_speed::speed_class_dwell;
    if (now - m_next_since >= dwell && m_measured_at == now) {
        m_class = m_next;
    }
    return m_class;
}

double reference_gap_ms(std::vector<double> gaps_ms)
{
    std::erase(gaps_ms, 0.0);
    if (gaps_ms.empty()) {
        return 0.0;
    }
    auto const middle =
        gaps_ms.begin() + static_cast<std::ptrdiff_t>((gaps_ms.size() - 1) / 2);
    std::nth_element(gaps_ms.begin(), middle, gaps_ms.end());
    double const median = *middle;
    double sum = 0.0;
    for (double const gap : gaps_ms) {
        sum += std::log(std::clamp(
            gap, median / max_ratio_to_median, median * max_ratio_to_median));
    }
    return std::exp(sum / static_cast<double>(gaps_ms.size()));
}

} // namespace caperjunction::routing
