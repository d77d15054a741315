#ifndef CAPERJUNCTION_BENCH_FAKE_ENGINE_HPP
#define CAPERJUNCTION_BENCH_FAKE_ENGINE_HPP

#include "bench/policy_bench/engine_job.hpp"
#include "bench/policy_bench/engine_numbers.hpp"
#include "bench/policy_bench/event_queue.hpp"
#include "bench/policy_bench/prefix_cache.hpp"
#include "bench/policy_bench/upstream_hooks.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// A model engine that batches continuously, in steps: each step takes in a
/// bounded piece of the waiting prompts and decodes one token of every
/// sequence that is past its prompt. Its numbers and their source stand in
/// `engine_numbers`. It is no more than that: one process, no parallelism
/// inside, and a sequence's KV memory is counted without sharing.
///
/// Thread safety: none.
class fake_engine
{
public:
    fake_engine(engine_numbers numbers, event_queue& queue, upstream_hooks);
    fake_engine(fake_engine const&) = delete;
    fake_engine& operator=(fake_engine const&) = delete;

    /// \pre `up()`.
    void submit(engine_job job);

    /// Frees the job's slot and memory at once; nothing if it has ended.
    void cancel(std::uint64_t attempt);

    /// Ends everything in flight as `broken`; the cache is lost.
    void crash(std::chrono::nanoseconds restart_after);

    /// Every step takes `factor` times as long from now on.
    void slow_down(double factor);

    bool up() const
    {
        return m_up;
    }

    std::uint32_t running() const;
    std::uint32_t waiting() const;
    /// Tokens that running sequences hold.
    std::uint32_t kv_used() const;
    double kv_share() const;
    prefix_cache& cache();
    std::uint32_t crashes() const;

private:
    struct sequence
    {
        engine_job job;
        std::uint64_t order = 0;
        std::uint32_t to_take_in = 0;
        std::uint32_t held_tokens = 0;
        /// Output that the caller has or is on its way, from its start.
        std::uint32_t produced = 0;
        std::uint32_t unsent = 0;
        bool first_sent = false;
        job_result result;
    };

    static bool before(sequence const& left, sequence const& right);
    void enqueue(sequence entry);
    void admit();
    bool start_first();
    std::uint32_t take_in_prompts();
    void start_step();
    void end_step(std::uint64_t epoch);
    bool advance(sequence& entry);
    void send(sequence& entry);
    void finish(sequence& entry, decide::attempt_end end);
    void keep_within_memory();

    engine_numbers m_numbers;
    event_queue& m_queue;
    upstream_hooks m_hooks;
    prefix_cache m_cache;
    std::vector<sequence> m_waiting;
    std::vector<sequence> m_running;
    std::uint64_t m_order = 0;
    /// Steps of an earlier life of the process are void.
    std::uint64_t m_epoch = 0;
    std::uint32_t m_kv_used = 0;
    std::uint32_t m_crashes = 0;
    double m_slowness = 1.0;
    bool m_up = true;
    bool m_stepping = false;
};

} // namespace caperjunction::bench

#endif
