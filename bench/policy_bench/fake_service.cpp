#include "bench/policy_bench/fake_service.hpp"

#include <utility>

namespace caperjunction::bench {

fake_service::fake_service(event_queue& queue, upstream_hooks hooks)
    : m_queue(queue)
    , m_hooks(std::move(hooks))
{
}

void fake_service::submit(std::uint64_t attempt,
                          std::chrono::nanoseconds length)
{
    m_waiting.push_back({attempt, length});
    start();
}

void fake_service::start()
{
    while (m_running < workers && !m_waiting.empty()) {
        call const next = m_waiting.front();
        m_waiting.pop_front();
        ++m_running;
        m_queue.after(next.length, [this, attempt = next.attempt] {
            --m_running;
            m_hooks.ended({attempt});
            start();
        });
    }
}

} // namespace caperjunction::bench
