#ifndef CAPERJUNCTION_ROUTING_ENGINE_CAPACITY_HPP
#define CAPERJUNCTION_ROUTING_ENGINE_CAPACITY_HPP

#include "routing/engine_readings.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace caperjunction::routing {

/// How fast an engine works in the long term. Short slow periods are part of
/// `upstream_performance`.
struct engine_capacity
{
    /// Prompt tokens that it prefills per millisecond: the typical rate of the
    /// service, scaled by the relative speed of the engine.
    double tokens_per_ms = 60.0;
    /// Typical time between two events of a stream, in milliseconds, while the
    /// engine reads no prompt.
    double event_gap_ms = 60.0;
    /// Mean time that a request occupies a slot, in milliseconds.
    double slot_ms = 2'000.0;
};

/// Speed of an engine relative to the others of its service. Classes change
/// only on a clear difference, so that hosts with slightly different
/// measurements agree.
enum class speed_class : std::uint8_t
{
    fast,
    typical,
    slow,
};

/// Returns a stable name for logs.
constexpr std::string_view to_string(speed_class speed)
{
    switch (speed) {
    case speed_class::fast:
        return "fast";
    case speed_class::slow:
        return "slow";
    case speed_class::typical:
        break;
    }
    return "typical";
}

/// Returns the sum of the readings of a service's engines for
/// `typical_capacity`.
///
/// Engines with many measurements count alike, so that the busiest ones don't
/// define what is typical. Readings that are impossible or far from the median
/// are left out.
engine_readings typical_readings(std::vector<engine_readings> const& engines);

/// Returns the capacity that `all` show, shifted towards the default if they
/// are few.
engine_capacity typical_capacity(engine_readings const& all);

/// Returns the capacity of one engine, shifted towards `typical` if its
/// readings are few. Readings that are impossible, or that differ from
/// `typical` by more than a factor of 16, are no measurement.
engine_capacity capacity_of(engine_readings const& readings,
                            engine_capacity const& typical);

/// Returns the event gap of an engine, in milliseconds; nothing if it was
/// measured too few times or is implausible.
std::optional<double> measured_gap_ms(engine_readings const& readings);

/// Returns the class of an engine that was in class `current` and reads
/// `rate` tokens per millisecond.
speed_class
next_speed_class(speed_class current, double rate, double typical_rate);

} // namespace caperjunction::routing

#endif
