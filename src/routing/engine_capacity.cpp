#include "routing/engine_capacity.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace caperjunction::routing {
namespace {

/// Weight of the capacity that few measurements are shifted towards: a prefill
/// time and a number of event gaps.
constexpr double prior_reading_ms = 500.0;
constexpr double prior_event_gaps = 10.0;
/// Event gaps from which their mean tells the speed of an engine.
constexpr double min_event_gaps = 15.0;
/// Largest ratio of two engines of a service, and of a service to the default.
constexpr double max_ratio_of_engines = 16.0;
constexpr double max_ratio_of_services = 64.0;
/// Measurements of one engine that count towards what is typical, at most.
constexpr double max_reading_ms = 1'000.0;
constexpr double max_event_gaps = 50.0;

// An engine leaves its class only at a clear distance from where it entered.
constexpr double enters_fast = 1.4;
constexpr double leaves_fast = 1.2;
constexpr double enters_slow = 0.7;
constexpr double leaves_slow = 0.85;

/// A total and the number that it is divided by.
struct ratio_sum
{
    double total = 0.0;
    double count = 0.0;

    double ratio() const
    {
        return total / count;
    }

    // Each comparison is false for a value that is not a number.
    bool is_within(double factor, double expected) const
    {
        return total > 0.0 && count > 0.0 && ratio() <= expected * factor
               && ratio() >= expected / factor;
    }

    double shifted_towards(double prior, double weight) const
    {
        return (total + prior * weight) / (count + weight);
    }
};

ratio_sum rate_of(engine_readings const& from)
{
    return {from.prompt_tokens, from.reading_ms};
}

ratio_sum gap_of(engine_readings const& from)
{
    return {from.event_gap_ms, from.event_gaps};
}

/// Returns the sum of those that are close to the median. Each counts with the
/// total of `max_count` at the median at most, so that a few fast engines don't
/// raise the result much.
ratio_sum
typical_sum(std::vector<ratio_sum> all, double default_ratio, double max_count)
{
    std::erase_if(all, [default_ratio](ratio_sum const& item) {
        return !item.is_within(max_ratio_of_services, default_ratio);
    });
    ratio_sum sum;
    if (all.empty()) {
        return sum;
    }
    auto const middle =
        all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
    std::nth_element(all.begin(),
                     middle,
                     all.end(),
                     [](ratio_sum const& a, ratio_sum const& b) {
                         return a.ratio() < b.ratio();
                     });
    double const median = middle->ratio();
    for (ratio_sum const& item : all) {
        if (item.is_within(max_ratio_of_engines, median)) {
            double const total = std::min(item.total, median * max_count);
            sum.total += total;
            sum.count += total / item.ratio();
        }
    }
    return sum;
}

} // namespace

engine_readings typical_readings(std::vector<engine_readings> const& engines)
{
    std::vector<ratio_sum> rates;
    std::vector<ratio_sum> gaps;
    for (engine_readings const& item : engines) {
        rates.push_back(rate_of(item));
        gaps.push_back(gap_of(item));
    }
    engine_capacity const unknown;
    auto const rate =
        typical_sum(std::move(rates), unknown.tokens_per_ms, max_reading_ms);
    auto const gap =
        typical_sum(std::move(gaps), unknown.event_gap_ms, max_event_gaps);
    return {rate.total, rate.count, gap.count, gap.total};
}

engine_capacity typical_capacity(engine_readings const& all)
{
    engine_capacity result;
    ratio_sum const rate = rate_of(all);
    if (rate.is_within(max_ratio_of_services, result.tokens_per_ms)) {
        result.tokens_per_ms =
            rate.shifted_towards(result.tokens_per_ms, prior_reading_ms);
    }
    ratio_sum const gap = gap_of(all);
    if (gap.is_within(max_ratio_of_services, result.event_gap_ms)) {
        result.event_gap_ms =
            gap.shifted_towards(result.event_gap_ms, prior_event_gaps);
    }
    return result;
}

engine_capacity capacity_of(engine_readings const& readings,
                            engine_capacity const& typical)
{
    engine_capacity result = typical;
    ratio_sum const rate = rate_of(readings);
    if (rate.is_within(max_ratio_of_engines, typical.tokens_per_ms)) {
        result.tokens_per_ms =
            rate.shifted_towards(typical.tokens_per_ms, prior_reading_ms);
    }
    ratio_sum const gap = gap_of(readings);
    if (gap.is_within(max_ratio_of_engines, typical.event_gap_ms)) {
        result.event_gap_ms =
            gap.shifted_towards(typical.event_gap_ms, prior_event_gaps);
    }
    return result;
}

std::optional<double> measured_gap_ms(engine_readings const& readings)
{
    ratio_sum const gap = gap_of(readings);
    bool const is_measured =
        gap.count >= min_event_gaps
        && gap.is_within(max_ratio_of_services, engine_capacity{}.event_gap_ms);
    return is_measured ? std::optional(gap.ratio()) : std::nullopt;
}

speed_class
next_speed_class(speed_class current, double rate, double typical_rate)
{
    double const ratio = rate / typical_rate;
    if (ratio >= enters_fast
        || (current == speed_class::fast && ratio >= leaves_fast)) {
        return speed_class::fast;
    }
    if (ratio < enters_slow
        || (current == speed_class::slow && ratio < leaves_slow)) {
        return speed_class::slow;
    }
    return speed_class::typical;
}

} // namespace caperjunction::routing
