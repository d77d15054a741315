#ifndef CAPERJUNCTION_ROUTING_ENGINE_FORECAST_HPP
#define CAPERJUNCTION_ROUTING_ENGINE_FORECAST_HPP

#include "routing/engine_capacity.hpp"

namespace caperjunction::routing {

// Forecasts of what a request meets at an engine, in milliseconds and before
// correction by measured performance. All functions are pure.

/// What the wait for a slot depends on.
struct slot_forecast_inputs
{
    /// Requests that occupy or await a slot, without the new one.
    double running = 0.0;
    /// 0: unknown, nothing waits.
    double slots = 0.0;
    /// Mean time that a request occupies a slot.
    double slot_ms = 2'000.0;
};

/// What the wait for memory depends on.
struct memory_forecast_inputs
{
    /// Tokens that running requests hold in the KV cache.
    double held_tokens = 0.0;
    /// Tokens that the request will hold itself.
    double request_tokens = 0.0;
    /// Tokens that the KV cache holds; 0: unknown, nothing waits.
    double kv_cache_tokens = 0.0;
    /// Mean time that a request occupies a slot.
    double slot_ms = 2'000.0;
};

/// What the prompts that an engine prefills before a new one depend on.
struct queue_forecast_inputs
{
    /// Tokens of prompts that await their first event and are at least as
    /// urgent as the new one.
    double ahead_tokens = 0.0;
    /// The same for less urgent prompts.
    double less_urgent_tokens = 0.0;
    /// Those of `ahead_tokens` that the engine has prefilled: a prompt is
    /// pending until its first event, one event gap later.
    double begun_tokens = 0.0;
    /// More urgent tokens that arrive per millisecond.
    double more_urgent_per_ms = 0.0;
    /// Tokens that the engine prefills per millisecond; positive.
    double tokens_per_ms = 60.0;
};

/// Returns the share of an engine's rate that more urgent prompts take: at most
/// 0.8, above which the number of waiting prompts follows chance alone.
double more_urgent_share(queue_forecast_inputs const& inputs);

/// Returns how far the queue of an engine has approached the mean of its group
/// since it was reported, from 0 to 1. It grows with `age_ms`, the age of the
/// report, relative to `queue_ms`, the time to prefill a mean queue.
///
/// All hosts place prompts on the engines that were reported idle, so these are
/// no longer idle when the reports arrive.
double share_changed(double age_ms, double queue_ms);

/// Returns the tokens that an engine prefills before a new prompt: those that
/// are pending and at least as urgent, one chunk of a less urgent prompt, and
/// those of more urgent prompts that arrive meanwhile.
double tokens_ahead(queue_forecast_inputs const& inputs);

/// Returns the longest expected gap between two events of a stream while the
/// engine prefills `pending_tokens`.
double event_gap_ms(engine_capacity const& capacity, double pending_tokens);

/// Returns the wait for a slot: 0 unless all slots are occupied.
double slot_wait_ms(slot_forecast_inputs const& inputs);

/// Returns the wait for memory: 0 if the request fits beside the running ones.
double memory_wait_ms(memory_forecast_inputs const& inputs);

} // namespace caperjunction::routing

#endif
