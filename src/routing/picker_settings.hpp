#ifndef CAPERJUNCTION_ROUTING_PICKER_SETTINGS_HPP
#define CAPERJUNCTION_ROUTING_PICKER_SETTINGS_HPP

#include <array>

namespace caperjunction::routing {

/// What placing weighs. Costs are shares of what a request is worth to its
/// caller: 1 is the harm of being late.
struct picker_settings
{
    /// What a path between host and upstream adds.
    struct network_path
    {
        /// Round trip, in milliseconds.
        double ms = 0.0;
        /// For `usual_bytes` that cross it.
        double cost = 0.0;
    };

    /// By `distance`.
    std::array<network_path, 3> network_paths{
        {{0.0, 0.0}, {3.0, 0.02}, {18.0, 0.08}}};
    double reference_bytes = 18'000;
    /// Taken for the length of an answer, which nobody knows before.
    double answer_bytes = 1'000;

    /// Prompt tokens that an engine reads in a millisecond, and the time to a
    /// first byte beside that, before the pace has corrected the forecast.
    double tokens_per_ms = 60.0;
    double base_ms = 60.0;
    /// The same at a plain service.
    double service_ms = 15.0;
    /// How long an urgent stream keeps its place, in milliseconds.
    double stream_duration_ms = 2'000;

    /// Share of the latency target that may pass without harm.
    double safe_share = 0.5;
    /// For each latency target beyond the first: the deadline comes near, and
    /// with it an answer that is cut.
    double cost_per_missed_target = 2.0;
    /// A failing upstream is worse than a late one: its caller gets nothing.
    double cost_of_failure = 2.0;

    /// What an urgent stream loses beside long prompts.
    double cost_outside_reserved = 0.4;
    /// What a prompt costs the urgent streams beside it: something at once,
    /// and more with each token that it has to be read.
    double cost_inside_reserved = 0.1;
    double cost_of_delay_per_token = 1.0 / 4'000;

    /// Shared tokens that, read anew, weigh as much as being late. What is
    /// read anew delays all others at that engine: while engines have time, a
    /// subject that many ask for is spread; when all of them are behind,
    /// prompts must not leave their homes, or engines read the same parts
    /// over and over and the overload feeds itself.
    double uncached_tokens_when_idle = 5'000;
    double uncached_tokens_when_behind = 2'000;
    /// Engines are behind when the prompts that wait take this share of the
    /// latency target.
    double share_when_behind = 0.25;

    /// What a stream loses on an engine whose streams pause for as long as
    /// its route allows, and from which share of that on it loses some.
    double cost_of_event_gap = 0.8;
    double safe_gap_share = 0.8;
    /// What a prompt costs each urgent stream beside it, and all of them.
    double cost_per_urgent_stream = 0.03;
    double max_cost_of_urgent_streams = 0.6;
};

} // namespace caperjunction::routing

#endif
