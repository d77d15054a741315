#ifndef CAPERJUNCTION_BENCH_FAKE_SERVICE_HPP
#define CAPERJUNCTION_BENCH_FAKE_SERVICE_HPP

#include "bench/policy_bench/event_queue.hpp"
#include "bench/policy_bench/upstream_hooks.hpp"

#include <chrono>
#include <cstdint>
#include <deque>

namespace caperjunction::bench {

/// A service with a fixed number of workers and a FIFO queue.
///
/// Thread safety: none.
class fake_service
{
public:
    /// Maximum number of concurrent calls.
    static constexpr std::uint32_t workers = 4;

    fake_service(event_queue& queue, upstream_hooks hooks);
    fake_service(fake_service const&) = delete;
    fake_service& operator=(fake_service const&) = delete;

    /// Runs the call for `length` when a worker is free. A submitted call runs
    /// to its end even if no caller waits for it.
    void submit(std::uint64_t attempt, std::chrono::nanoseconds length);

private:
    struct call
    {
        std::uint64_t attempt = 0;
        std::chrono::nanoseconds length{0};
    };

    void start();

    event_queue& m_queue;
    upstream_hooks m_hooks;
    std::deque<call> m_waiting;
    std::uint32_t m_running = 0;
};

} // namespace caperjunction::bench

#endif
