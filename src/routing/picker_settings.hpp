#ifndef CAPERJUNCTION_ROUTING_PICKER_SETTINGS_HPP
#define CAPERJUNCTION_ROUTING_PICKER_SETTINGS_HPP

#include <array>
#include <cstddef>

namespace caperjunction::routing {

/// Weights of placement. Costs are fractions of the value of a request to its
/// caller: 1 is the cost of a late answer.
struct picker_settings
{
    /// What the network between host and upstream adds.
    struct network_path
    {
        /// Round trip, in milliseconds.
        double ms = 0.0;
        /// For `reference_bytes` sent over it.
        double cost = 0.0;
    };

    /// Indexed by `distance`.
    std::array<network_path, 3> network_paths{
        {{0.0, 0.0}, {3.0, 0.02}, {18.0, 0.08}}};
    /// What another host in between adds, in all and not for each byte.
    network_path detour{3.0, 0.05};
    double reference_bytes = 18'000;
    /// Assumed length of an answer, which is not known in advance.
    double answer_bytes = 1'000;

    /// Prompt tokens that an engine reads per millisecond, and the remaining
    /// time to the first byte, before correction by measured performance.
    double tokens_per_ms = 60.0;
    double base_ms = 60.0;
    /// Time to the first byte at a plain service.
    double service_ms = 15.0;
    /// Time that an urgent stream occupies its slot, in milliseconds.
    double stream_duration_ms = 2'000;

    /// Reserved engines, and others, that a prompt considers beside its
    /// affinity and overflow engines.
    std::size_t drawn_engines = 2;

    /// Share of the latency target that costs nothing.
    double safe_share = 0.5;
    /// For each latency target after the first: the deadline approaches, and
    /// the answer may be cut off.
    double cost_per_missed_target = 2.0;
    /// A failing upstream is worse than a late one: the caller gets no answer.
    double cost_of_failure = 2.0;

    /// Cost of a connection that has to be established first: a round trip, and
    /// time that the upstream spends on it.
    double cost_of_new_connection = 0.02;

    /// Cost of beginning a stream that may be resumed at the only upstream of
    /// its software version: it could go on nowhere.
    double cost_of_lone_version = 0.1;

    /// Cost of a wait for a slot that takes a whole latency target, in addition
    /// to the cost of lateness: it is more than the prefix that a nearly full
    /// engine has in its cache.
    double cost_of_slot_wait = 0.5;
    /// Cost of an urgent stream on an engine with long prompts.
    double cost_outside_reserved = 0.4;
    /// Cost of a prompt to the urgent streams on the same engine: a constant,
    /// and an addition for each token to be read.
    double cost_inside_reserved = 0.1;
    double cost_of_delay_per_token = 1.0 / 4'000;

    /// Shared tokens whose repeated reading costs as much as a late answer. It
    /// delays all other requests at that engine. While engines have free
    /// capacity, a prefix with many requests is spread over several engines.
    /// When all engines are behind, prompts must stay at their affinity
    /// engines: otherwise engines read the same parts repeatedly and the
    /// overload amplifies itself.
    double uncached_tokens_when_idle = 5'000;
    double uncached_tokens_when_behind = 2'000;
    /// Engines are behind when the pending prompts take this share of the
    /// latency target.
    double share_when_behind = 0.25;

    /// Cost of a stream on an engine whose longest gap equals the maximum of
    /// its route, and the share of that maximum from which the cost rises.
    double cost_of_event_gap = 0.8;
    double safe_gap_share = 0.8;
    /// Cost of a prompt for each urgent stream on the same engine, and the
    /// maximum for all of them.
    double cost_per_urgent_stream = 0.03;
    double max_cost_of_urgent_streams = 0.6;
};

} // namespace caperjunction::routing

#endif
