#include "routing/upstream_directory.hpp"

#include "routing/speed_weight.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Number of requests whose slot time is assumed in addition to the measured
/// ones.
constexpr double prior_requests = 4.0;

/// Event gaps from which their mean tells the speed of an engine.
constexpr double min_event_gaps = 30.0;

/// Largest ratio of the event gap of an engine to the median of its service.
constexpr double max_ratio_to_median = 4.0;

/// Returns how fast an engine is relative to the typical one. Event gaps are
/// preferred to prefills: there are many more of them, and the queue in front
/// of a prefill is known only roughly.
double relative_speed(engine_readings const& measured,
                      engine_capacity const& capacity,
                      engine_capacity const& typical)
{
    return measured.event_gaps >= min_event_gaps
               ? typical.event_gap_ms / capacity.event_gap_ms
               : capacity.tokens_per_ms / typical.tokens_per_ms;
}

/// Returns the longest event gap, in milliseconds, that shows the speed of an
/// engine; infinity if none is measured. An engine that prefills without a
/// break has longer gaps that are close to each other. The bound follows the
/// median, so that one gap that is too short doesn't exclude all others.
double longest_gap_without_prompts(std::vector<engine_readings> const& readings)
{
    std::vector<double> gaps;
    for (engine_readings const& item : readings) {
        if (auto const gap = measured_gap_ms(item)) {
            gaps.push_back(*gap);
        }
    }
    if (gaps.empty()) {
        return std::numeric_limits<double>::infinity();
    }
    auto const median =
        gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::nth_element(gaps.begin(), median, gaps.end());
    return *median * max_ratio_to_median;
}

double mean_slot_ms(std::vector<upstream_ptr> const& engines,
                    model::time_point now)
{
    slot_times sum{prior_requests, prior_requests * engine_capacity{}.slot_ms};
    for (upstream_ptr const& item : engines) {
        sum.add(item->own_capacity.slot_times(now));
    }
    return sum.ms / sum.requests;
}

} // namespace

void upstream_directory::update_capacities(
    model::time_point now,
    bool uses_classes,
    std::function<void(upstream_state const&, double reference_ms)> const&
        on_changed)
{
    for (auto const& [service, engines] : m_by_service) {
        std::vector<engine_readings> readings;
        readings.reserve(engines.size());
        for (upstream_ptr const& item : engines) {
            readings.push_back(item->own_capacity.readings(now));
            readings.back().add(item->others_readings);
        }
        engine_capacity typical =
            routing::typical_capacity(typical_readings(readings));
        typical.slot_ms = mean_slot_ms(engines, now);
        m_typical_capacities[service] = typical;
        std::vector<double> gaps;
        double const longest = longest_gap_without_prompts(readings);
        for (std::size_t at = 0; at < engines.size(); ++at) {
            auto const gap = measured_gap_ms(readings[at]);
            if (gap && *gap <= longest) {
                engines[at]->speed_measured.record_gap(*gap, now);
            }
            gaps.push_back(engines[at]->speed_measured.gap_ms());
        }
        double const reference = reference_gap_ms(std::move(gaps));
        bool has_changed = false;
        for (std::size_t at = 0; at < engines.size(); ++at) {
            upstream_state& state = *engines[at];
            state.capacity = capacity_of(readings[at], typical);
            double const relative =
                relative_speed(readings[at], state.capacity, typical);
            state.capacity.tokens_per_ms = typical.tokens_per_ms * relative;
            auto const speed = uses_classes
                                   ? state.speed_measured.update(reference, now)
                                   : speed_class::typical;
            if (std::exchange(state.speed, speed) != speed) {
                has_changed = true;
                if (on_changed) {
                    on_changed(state, reference);
                }
            }
        }
        if (has_changed) {
            m_reservation_orders.erase(service);
        }
    }
}

engine_capacity
upstream_directory::typical_capacity(std::string_view service) const
{
    auto const known = m_typical_capacities.find(service);
    return known == m_typical_capacities.end() ? engine_capacity{}
                                               : known->second;
}

double
upstream_directory::prefill_tokens_per_second(std::string_view service) const
{
    constexpr double ms_per_second = 1'000.0;
    double weights = 0.0;
    for (upstream_ptr const& item : of_service(service)) {
        weights += speed_weight(item->speed);
    }
    return weights * typical_capacity(service).tokens_per_ms * ms_per_second;
}

} // namespace caperjunction::routing
