#include "routing/engine_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace caperjunction::routing {

double event_gap_ms(engine_capacity const& capacity, double pending_tokens)
{
    return capacity.event_gap_ms + pending_tokens / capacity.tokens_per_ms;
}

double more_urgent_share(queue_forecast_inputs const& inputs)
{
    constexpr double max_share = 0.8;
    return std::min(max_share,
                    inputs.more_urgent_per_ms / inputs.tokens_per_ms);
}

double share_changed(double age_ms, double queue_ms)
{
    return 1.0 - std::exp(-age_ms / std::max(1.0, queue_ms));
}

double tokens_ahead(queue_forecast_inputs const& inputs)
{
    // Usual size of a chunk. An engine ends the one that it has begun.
    constexpr double chunk_tokens = 1'024.0;
    double const begun = std::min(inputs.begun_tokens, inputs.ahead_tokens);
    double const waiting = inputs.ahead_tokens - begun
                           + std::min(inputs.less_urgent_tokens, chunk_tokens);
    return begun + waiting / (1.0 - more_urgent_share(inputs));
}

double slot_wait_ms(slot_forecast_inputs const& inputs)
{
    if (inputs.slots <= 0.0) {
        return 0.0;
    }
    double const excess = std::max(0.0, inputs.running + 1.0 - inputs.slots);
    return excess / inputs.slots * inputs.slot_ms;
}

double memory_wait_ms(memory_forecast_inputs const& inputs)
{
    if (inputs.kv_cache_tokens <= 0.0) {
        return 0.0;
    }
    double const excess = std::max(0.0,
                                   inputs.held_tokens + inputs.request_tokens
                                       - inputs.kv_cache_tokens);
    return excess / inputs.kv_cache_tokens * inputs.slot_ms;
}

} // namespace caperjunction::routing
