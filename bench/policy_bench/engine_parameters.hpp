#ifndef CAPERJUNCTION_BENCH_ENGINE_PARAMETERS_HPP
#define CAPERJUNCTION_BENCH_ENGINE_PARAMETERS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace caperjunction::bench {

/// Parameters of the fake engine.
///
/// The values have the order of magnitude of a model with eight billion
/// parameters on one current accelerator. The results depend on their
/// relations: a step takes longer the more sequences it decodes, but less time
/// per sequence; a prompt delays all sequences that are decoded in the same
/// step; memory is limited.
struct engine_parameters
{
    /// Base duration of a step, independent of its batch size.
    std::chrono::nanoseconds step_base{8'000'000};
    /// Additional time per decoded sequence.
    std::chrono::nanoseconds step_per_sequence{350'000};
    /// Additional time per prefilled prompt token (12,500 per second).
    std::chrono::nanoseconds step_per_prompt_token{80'000};
    /// Maximum number of prompt tokens that one step prefills.
    std::uint32_t prompt_tokens_per_step = 512;
    /// Maximum number of sequences in a batch.
    std::uint32_t slots = 32;
    /// Maximum number of queued requests; further ones are refused.
    std::uint32_t max_waiting = 256;
    /// KV memory in tokens, for running sequences and the cache together.
    std::uint32_t kv_tokens = 64'000;
    /// Maximum part of `kv_tokens` that the prefix cache uses.
    std::uint32_t cache_tokens = 24'000;
    /// Tokens per cache block.
    std::uint32_t block_tokens = 128;
    /// Tokens sent together after the first one; limits the run time of the
    /// simulation.
    std::uint32_t tokens_per_chunk = 8;

    /// Returns the engine time of one output token with a full batch.
    std::chrono::duration<double> output_token_cost() const
    {
        std::chrono::duration<double> const step =
            step_base + step_per_sequence * slots;
        return step / slots;
    }

    /// Returns the engine time of one uncached prompt token.
    std::chrono::duration<double> prompt_token_cost() const
    {
        return step_per_prompt_token;
    }
};

} // namespace caperjunction::bench

#endif
