#ifndef CAPERJUNCTION_BENCH_ENGINE_NUMBERS_HPP
#define CAPERJUNCTION_BENCH_ENGINE_NUMBERS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace caperjunction::bench {

/// The numbers of the fake engine.
///
/// Their source is our own assumption, not a measurement: the order of
/// magnitude of a model of some eight billion parameters on one accelerator
/// of the present kind. What the bench is after depends on their shape: a
/// step takes longer the more sequences it decodes, yet less for each; a
/// prompt delays everyone who is decoding beside it; memory is limited.
struct engine_numbers
{
    /// Every step, however small its batch.
    std::chrono::nanoseconds step_base{8'000'000};
    /// More for each sequence that the step decodes.
    std::chrono::nanoseconds step_per_sequence{350'000};
    /// More for each prompt token that the step takes in (12,500 a second).
    std::chrono::nanoseconds step_per_prompt_token{80'000};
    /// Prompt tokens that one step takes in at most.
    std::uint32_t prompt_tokens_per_step = 512;
    /// Sequences decoded side by side.
    std::uint32_t slots = 32;
    /// Requests that wait in the engine before it refuses more.
    std::uint32_t max_waiting = 256;
    /// Tokens that its KV memory holds, running and cached together.
    std::uint32_t kv_tokens = 64'000;
    /// Of these, what the prefix cache may take at most.
    std::uint32_t cache_tokens = 24'000;
    /// Tokens of one cache block.
    std::uint32_t block_tokens = 128;
    /// Tokens sent together once the first is out; bounds the bench's work.
    std::uint32_t tokens_per_chunk = 8;

    /// Engine time of one output token when the batch is full.
    std::chrono::duration<double> output_token_cost() const
    {
        std::chrono::duration<double> const step =
            step_base + step_per_sequence * slots;
        return step / slots;
    }

    /// Engine time of one prompt token that the cache does not hold.
    std::chrono::duration<double> prompt_token_cost() const
    {
        return step_per_prompt_token;
    }
};

} // namespace caperjunction::bench

#endif
