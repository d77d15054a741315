#ifndef CAPERJUNCTION_BENCH_FAKE_ENGINE_HPP
#define CAPERJUNCTION_BENCH_FAKE_ENGINE_HPP

#include "bench/policy_bench/engine_job.hpp"
#include "bench/policy_bench/engine_parameters.hpp"
#include "bench/policy_bench/event_queue.hpp"
#include "bench/policy_bench/prefix_cache.hpp"
#include "bench/policy_bench/upstream_hooks.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace caperjunction::bench {

/// A model engine with continuous batching. Each step prefills a bounded part
/// of the pending prompts and decodes one token of each sequence whose prompt
/// is complete. `engine_parameters` has the parameters and their source.
/// Simplified: one process without internal parallelism, and KV memory is
/// counted per sequence without sharing.
///
/// Thread safety: none.
class fake_engine
{
public:
    fake_engine(engine_parameters parameters,
                event_queue& queue,
                upstream_hooks);
    fake_engine(fake_engine const&) = delete;
    fake_engine& operator=(fake_engine const&) = delete;

    /// \pre `up()`.
    void submit(engine_job job);

    /// Frees the job's slot and memory immediately; no effect if it has ended.
    void cancel(std::uint64_t attempt);

    /// Ends all jobs as `broken` and clears the cache.
    void crash(std::chrono::nanoseconds restart_after);

    /// Multiplies the duration of each following step by `factor`.
    void slow_down(double factor);

    bool up() const
    {
        return m_up;
    }

    std::uint32_t running() const;
    std::uint32_t waiting() const;
    /// Returns the KV tokens of running sequences.
    std::uint32_t kv_used() const;
    double kv_share() const;
    prefix_cache& cache();
    std::uint32_t crashes() const;

private:
    struct sequence
    {
        engine_job job;
        std::uint64_t order = 0;
        std::uint32_t pending_prefill_tokens = 0;
        std::uint32_t held_tokens = 0;
        /// Output tokens generated so far, including `resume_offset`.
        std::uint32_t produced = 0;
        std::uint32_t unsent = 0;
        bool first_sent = false;
        job_result result;
    };

    static bool precedes(sequence const& left, sequence const& right);
    void enqueue(sequence entry);
    void admit();
    bool start_next();
    std::uint32_t prefill();
    void start_step();
    void end_step(std::uint64_t epoch);
    bool advance(sequence& entry);
    void send(sequence& entry);
    void finish(sequence& entry, decide::attempt_end end);
    void evict_to_fit_memory();

    engine_parameters m_parameters;
    event_queue& m_queue;
    upstream_hooks m_hooks;
    prefix_cache m_cache;
    std::vector<sequence> m_waiting;
    std::vector<sequence> m_running;
    std::uint64_t m_order = 0;
    /// Number of crashes; invalidates steps scheduled before a crash.
    std::uint64_t m_epoch = 0;
    std::uint32_t m_kv_used = 0;
    std::uint32_t m_crashes = 0;
    double m_slowdown = 1.0;
    bool m_up = true;
    bool m_stepping = false;
};

} // namespace caperjunction::bench

#endif
