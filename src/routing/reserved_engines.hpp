#ifndef CAPERJUNCTION_ROUTING_RESERVED_ENGINES_HPP
#define CAPERJUNCTION_ROUTING_RESERVED_ENGINES_HPP

#include "routing/speed_weight.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace caperjunction::routing {

/// Inputs of the number of engines reserved for the most urgent streams.
struct reservation_inputs
{
    /// Engines of the service.
    std::size_t engines = 0;
    /// Requests that an engine runs at once, on average.
    double slots = 1.0;
    /// Expected most urgent streams of the service, from all hosts.
    double urgent_streams = 0.0;
    /// Engines of each class, indexed by `speed_class`; all zero: they are
    /// equally fast.
    std::array<std::size_t, speed_class_count> by_speed{};
    /// Expected prompt tokens per second of the most urgent streams, from all
    /// hosts; 0: only streams count.
    double urgent_tokens_per_second = 0.0;
    /// Longest gap between events that these streams allow; 0: no limit.
    double max_event_gap_ms = 0.0;
    /// Typical engine of the service: prompt tokens that it prefills per
    /// millisecond, and its event gap without prompts.
    double tokens_per_ms = 0.0;
    double event_gap_ms = 0.0;
};

/// Returns whether at most one class has engines. They are then equally fast,
/// and as fast as the typical one.
inline bool has_even_engines(reservation_inputs const& inputs)
{
    auto const& by_speed = inputs.by_speed;
    return std::count(by_speed.begin(), by_speed.end(), std::size_t{0}) > 1;
}

/// Returns the number of engines, fastest first, whose slots run the expected
/// streams when `target_fill` of them are taken. A slot counts by the speed of
/// its engine. Without bounds: more than there are if they don't suffice.
inline double engines_for_streams(reservation_inputs const& inputs,
                                  double target_fill)
{
    double const filled = std::max(1.0, inputs.slots * target_fill);
    double needed = inputs.urgent_streams / filled;
    double counted = 0.0;
    auto const& by_speed = inputs.by_speed;
    bool const is_even = has_even_engines(inputs);
    for (std::size_t index = 0; index < by_speed.size() && !is_even; ++index) {
        double const weight = speed_weight(static_cast<speed_class>(index));
        auto const engines = static_cast<double>(by_speed[index]);
        if (needed <= engines * weight) {
            return counted + needed / weight;
        }
        needed -= engines * weight;
        counted += engines;
    }
    return counted + needed;
}

/// Returns the prompt tokens per second that an engine of weight `weight`, from
/// `speed_weight`, may be given so that its streams keep their event gaps, also
/// while it is temporarily slow; zero or less if it can't prefill any.
/// `max_event_gap_ms` and `weight` must be positive.
inline double urgent_tokens_per_second_of(reservation_inputs const& inputs,
                                          double weight)
{
    // Engines have slow periods of some tenths of a second, shorter than the
    // time in which a reservation can follow them.
    constexpr double slow_speed = 0.5;
    // Prompts arrive at random: with this share on average, the prompts of one
    // gap rarely take all of its time.
    constexpr double share_for_arrivals = 0.4;
    constexpr double ms_per_second = 1'000.0;
    double const gap_ms = inputs.max_event_gap_ms;
    double const speed = weight * slow_speed;
    double const reading_ms = gap_ms - inputs.event_gap_ms / speed;
    double const tokens_per_gap = reading_ms * inputs.tokens_per_ms * speed;
    return share_for_arrivals * tokens_per_gap / gap_ms * ms_per_second;
}

/// Returns the number of engines, fastest first, that prefill the expected
/// prompts of the most urgent streams within their event gaps. If too few can,
/// the number of these: the others would make the streams late.
///
/// Answers prompts that occupy the reserved engines although slots are free.
inline double engines_for_work(reservation_inputs const& inputs)
{
    if (!(inputs.max_event_gap_ms > 0.0)) {
        return 0.0;
    }
    double left = inputs.urgent_tokens_per_second;
    double counted = 0.0;
    bool const is_even = has_even_engines(inputs);
    for (std::size_t index = 0; index < inputs.by_speed.size(); ++index) {
        double const weight =
            is_even ? 1.0 : speed_weight(static_cast<speed_class>(index));
        double const each = urgent_tokens_per_second_of(inputs, weight);
        auto const engines = static_cast<double>(
            is_even ? inputs.engines : inputs.by_speed[index]);
        if (!(each > 0.0)) {
            return counted;
        }
        if (left <= engines * each || is_even) {
            return counted + std::min(engines, left / each);
        }
        left -= engines * each;
        counted += engines;
    }
    return counted;
}

/// Returns the number of engines that read no long prompts, so that urgent
/// streams have no long gaps.
///
/// A fixed share would be idle during bursts of long prompts and overloaded
/// during bursts of urgent streams.
inline std::size_t reserved_engine_count(reservation_inputs const& inputs)
{
    // With fewer engines, too few would remain for long prompts.
    constexpr std::size_t min_engines = 3;
    // Share of engines reserved while few urgent streams run, so that a burst
    // of chats finds capacity before the reservation has grown.
    constexpr std::size_t engines_per_idle_reserved = 8;
    // In a small service, the loss of one reserved engine must leave others for
    // its chats.
    constexpr std::size_t max_spare = 3;
    constexpr std::size_t engines_per_spare = 4;
    // Some engines remain for long prompts, whatever the number of chats.
    constexpr double max_share = 0.6;
    // Leaves slots for streams that other hosts start before this host receives
    // their digests.
    constexpr double target_fill = 0.7;
    if (inputs.engines < min_engines) {
        return 0;
    }
    double const needed = std::max(engines_for_streams(inputs, target_fill),
                                   engines_for_work(inputs));
    auto const spare = std::min(max_spare, inputs.engines / engines_per_spare);
    auto const reserved_when_idle = std::max(
        {std::size_t{1}, inputs.engines / engines_per_idle_reserved, spare});
    auto const max_reserved = static_cast<std::size_t>(
        std::floor(static_cast<double>(inputs.engines) * max_share));
    return std::clamp(static_cast<std::size_t>(std::ceil(needed)),
                      reserved_when_idle,
                      std::max(reserved_when_idle, max_reserved));
}

} // namespace caperjunction::routing

#endif
